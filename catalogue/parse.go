package catalogue

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"sigs.k8s.io/yaml"
)

// Limits on an operators' file.
const (
	// MaxFileBytes is the maximum size of the file. It ensures that the published
	// document fits into one value of the platform's store.
	MaxFileBytes = 768 << 10
	// maxExpandedBytes is the maximum size after expansion of YAML aliases.
	maxExpandedBytes = MaxFileBytes
	// maxDepth is the maximum nesting depth of lists and mappings.
	maxDepth = 8
	// MaxObjects is the maximum number of objects of one kind.
	MaxObjects = 4096
)

// Errors returned, possibly wrapped, by Parse.
var (
	ErrFileTooLarge     = errors.New("catalogue: file too large")
	ErrTooDeep          = errors.New("catalogue: nested too deeply")
	ErrTooManyObjects   = errors.New("catalogue: too many objects")
	ErrEmpty            = errors.New("catalogue: file declares nothing")
	ErrSeveralDocuments = errors.New("catalogue: file has more than one YAML document")
	ErrSyntax           = errors.New("catalogue: syntax")
)

// Parse parses a set in YAML or JSON. Unknown fields, duplicate keys and more
// than one YAML document are errors. Parse does not validate the set.
func Parse(data []byte) (*Set, error) {
	if len(data) > MaxFileBytes {
		return nil, fmt.Errorf("%w: %d bytes, want at most %d", ErrFileTooLarge, len(data), MaxFileBytes)
	}
	if severalDocuments(data) {
		return nil, ErrSeveralDocuments
	}
	expanded, err := yaml.YAMLToJSONStrict(data)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrSyntax, err)
	}
	if len(expanded) > maxExpandedBytes {
		return nil, fmt.Errorf("%w: %d bytes with aliases written out, want at most %d", ErrFileTooLarge, len(expanded), maxExpandedBytes)
	}
	if bytes.Equal(expanded, []byte("null")) {
		return nil, ErrEmpty
	}
	var value any
	if err := json.Unmarshal(expanded, &value); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrSyntax, err)
	}
	if err := checkShape(value, 0); err != nil {
		return nil, err
	}
	set, err := decode(expanded)
	if err != nil {
		return nil, err
	}
	if err := set.checkCounts(); err != nil {
		return nil, err
	}
	return set, nil
}

// decode unmarshals JSON without converting between types, so that the unquoted
// YAML names no and 1.10 are errors instead of the names false and 1.1.
func decode(document []byte) (*Set, error) {
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.DisallowUnknownFields()
	var set Set
	if err := decoder.Decode(&set); err != nil {
		return nil, fmt.Errorf("%w: %v (names that look like numbers or booleans need quotes)", ErrSyntax, err)
	}
	return &set, nil
}

// severalDocuments reports whether a document separator follows content.
func severalDocuments(data []byte) bool {
	content := false
	for line := range bytes.Lines(data) {
		line = bytes.TrimRight(line, " \t\r\n")
		separator := bytes.Equal(line, []byte("---")) || bytes.HasPrefix(line, []byte("--- "))
		if separator && content {
			return true
		}
		comment := bytes.HasPrefix(bytes.TrimLeft(line, " \t"), []byte("#"))
		directive := bytes.HasPrefix(line, []byte("%"))
		if separator || (len(line) > 0 && !comment && !directive) {
			content = true
		}
	}
	return false
}

// fieldNames holds the JSON names of all fields of Set and of its object types.
var fieldNames = collectFieldNames(reflect.TypeFor[Set](), map[string]bool{})

// collectFieldNames adds the JSON names of all fields of t and of nested types.
func collectFieldNames(t reflect.Type, names map[string]bool) map[string]bool {
	if t.Kind() == reflect.Slice {
		return collectFieldNames(t.Elem(), names)
	}
	if t.Kind() != reflect.Struct {
		return names
	}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		names[name] = true
		collectFieldNames(t.Field(i).Type, names)
	}
	return names
}

// checkShape limits the nesting depth and rejects unknown field names, including
// names that differ from a field only in case, which the JSON decoder accepts.
func checkShape(value any, depth int) error {
	if depth > maxDepth {
		return fmt.Errorf("%w: more than %d levels", ErrTooDeep, maxDepth)
	}
	switch typed := value.(type) {
	case []any:
		for _, item := range typed {
			if err := checkShape(item, depth+1); err != nil {
				return err
			}
		}
	case map[string]any:
		for name, item := range typed {
			if !fieldNames[name] {
				return fmt.Errorf("%w: unknown field %q", ErrSyntax, name)
			}
			if err := checkShape(item, depth+1); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *Set) checkCounts() error {
	counts := []struct {
		kind  string
		count int
	}{
		{"zones", len(s.Zones)}, {"models", len(s.Models)}, {"versions", len(s.Versions)}, {"pools", len(s.Pools)},
		{"services", len(s.Services)}, {"routes", len(s.Routes)}, {"teams", len(s.Teams)},
	}
	for _, c := range counts {
		if c.count > MaxObjects {
			return fmt.Errorf("%w: %d %s, want at most %d", ErrTooManyObjects, c.count, c.kind, MaxObjects)
		}
	}
	return nil
}
