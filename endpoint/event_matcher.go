package endpoint

import (
	"bytes"
	"encoding/json"

	"github.com/zinniaseam/zinniaseam/core"
)

// eventMatcher distinguishes the events of one stream from those of other streams.
type eventMatcher struct {
	id core.RequestID
	// field is the JSON encoding of the ID field as engines write it.
	field []byte
}

func newEventMatcher(id core.RequestID) eventMatcher {
	text, err := json.Marshal(id)
	if err != nil {
		return eventMatcher{id: id}
	}
	return eventMatcher{id: id, field: append([]byte(`"id":`), text...)}
}

// matches reports whether an event belongs to the stream, that is, it has the stream's
// ID or none. Quotes inside JSON strings are escaped, so the text of a token cannot
// match field.
func (m eventMatcher) matches(event []byte) bool {
	if len(m.field) > 0 && bytes.Contains(event, m.field) {
		return true
	}
	var named struct {
		ID core.RequestID `json:"id"`
	}
	return json.Unmarshal(event, &named) == nil && (named.ID == "" || named.ID == m.id)
}
