// Package answers detects answers over HTTP/1.1 that are broken although net/http takes them for
// complete ones.
package answers
