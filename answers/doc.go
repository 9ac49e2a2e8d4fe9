// Package answers detects broken HTTP/1.1 answers that net/http accepts.
package answers
