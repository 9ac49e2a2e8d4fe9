package catalogue

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// ChangeKind is the kind of a difference between two sets.
type ChangeKind string

// Kinds of changes.
const (
	ChangeAdded   ChangeKind = "added"
	ChangeRemoved ChangeKind = "removed"
	ChangeField   ChangeKind = "changed"
)

// Change is one difference between two sets.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Object is the kind and name of the object, such as pool/briefings.
	Object string `json:"object"`
	// Field, Old and New are set for a changed field; the values are JSON.
	Field string `json:"field,omitempty"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// String returns a one-line description of the change.
func (c Change) String() string {
	if c.Kind != ChangeField {
		return fmt.Sprintf("%s %s", c.Kind, c.Object)
	}
	return fmt.Sprintf("%s %s: %s: %s -> %s", c.Kind, c.Object, c.Field, orUnset(c.Old), orUnset(c.New))
}

// orUnset returns value, or a placeholder if the field is not set.
func orUnset(value string) string {
	if value == "" {
		return "(unset)"
	}
	return value
}

// fields maps the field names of one object to their JSON values.
type fields map[string]json.RawMessage

// Diff returns the changes from before to after, ordered by kind and name of the
// object.
func Diff(before, after *Set) []Change {
	var changes []Change
	beforeObjects, afterObjects := flatten(before), flatten(after)
	for i := range beforeObjects {
		changes = append(changes, diffKind(beforeObjects[i], afterObjects[i])...)
	}
	return changes
}

func diffKind(before, after map[string]fields) []Change {
	names := maps.Clone(before)
	maps.Copy(names, after)
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(names)) {
		old, existed := before[name]
		current, exists := after[name]
		switch {
		case !existed:
			changes = append(changes, Change{Kind: ChangeAdded, Object: name})
		case !exists:
			changes = append(changes, Change{Kind: ChangeRemoved, Object: name})
		default:
			changes = append(changes, diffFields(name, old, current)...)
		}
	}
	return changes
}

func diffFields(name string, before, after fields) []Change {
	names := maps.Clone(before)
	maps.Copy(names, after)
	var changes []Change
	for _, field := range slices.Sorted(maps.Keys(names)) {
		old, current := string(before[field]), string(after[field])
		if old != current {
			changes = append(changes, Change{Kind: ChangeField, Object: name, Field: field, Old: old, New: current})
		}
	}
	return changes
}

// flatten returns, for each kind in a fixed order, the objects of that kind by
// name.
func flatten(set *Set) []map[string]fields {
	return []map[string]fields{
		flattenKind("zone", set.Zones, func(z Zone) string { return string(z.Name) }),
		flattenKind("model", set.Models, func(m Model) string { return string(m.Name) }),
		flattenKind("version", set.Versions, func(v Version) string { return string(v.Name) }),
		flattenKind("pool", set.Pools, func(p Pool) string { return string(p.Name) }),
		flattenKind("service", set.Services, func(s Service) string { return string(s.Name) }),
		flattenKind("route", set.Routes, func(r Route) string { return string(r.Name) }),
		flattenKind("team", set.Teams, func(t Team) string { return string(t.Name) }),
	}
}

func flattenKind[T any](kind string, objects []T, name func(T) string) map[string]fields {
	flat := make(map[string]fields, len(objects))
	for i, o := range objects {
		flat[objectName(kind, name(o), i)] = fieldsOf(o)
	}
	return flat
}

// fieldsOf returns the JSON fields of an object except its name. It panics if the
// object cannot be marshaled, which does not happen for the types of this package.
func fieldsOf(object any) fields {
	data, err := json.Marshal(object)
	if err != nil {
		panic(fmt.Sprintf("catalogue: cannot marshal object: %v", err))
	}
	var parsed fields
	if err := json.Unmarshal(data, &parsed); err != nil {
		panic(fmt.Sprintf("catalogue: cannot unmarshal object: %v", err))
	}
	delete(parsed, "name")
	return parsed
}
