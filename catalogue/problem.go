package catalogue

import (
	"fmt"
	"strings"
)

// ProblemCode is the machine-readable kind of a validation problem.
type ProblemCode string

// Kinds of validation problems.
const (
	ProblemBadName      ProblemCode = "bad_name"
	ProblemDuplicate    ProblemCode = "duplicate"
	ProblemMissing      ProblemCode = "missing"
	ProblemUnknown      ProblemCode = "unknown_reference"
	ProblemMismatch     ProblemCode = "mismatch"
	ProblemOutOfBounds  ProblemCode = "out_of_bounds"
	ProblemBadValue     ProblemCode = "bad_value"
	ProblemNoCapacity   ProblemCode = "no_capacity"
	ProblemExactlyOneOf ProblemCode = "exactly_one_of"
)

// Problem is one validation problem in a set.
type Problem struct {
	// Object is the kind and name of the object, such as pool/briefings.
	Object string      `json:"object"`
	Field  string      `json:"field"`
	Code   ProblemCode `json:"code"`
	Detail string      `json:"detail"`
}

// String returns a one-line description of the problem.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s: %s", p.Object, p.Field, p.Detail)
}

// Problems is the list of all validation problems in a set.
type Problems []Problem

// Error implements error. The message has one line per problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// objectName returns the name of an object in problems and changes. For an object
// with an empty name, it contains the index in the list, starting at 0.
func objectName(kind, name string, index int) string {
	if name == "" {
		return fmt.Sprintf("%s[%d]", kind, index)
	}
	return kind + "/" + name
}
