package core

// SetDefault sets *field to value if *field is the zero value of its type.
func SetDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
