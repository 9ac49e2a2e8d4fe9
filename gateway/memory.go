package gateway

const (
	// defaultBodyMemory is the budget for bodies if the configuration has none, in bytes.
	defaultBodyMemory = 32 << 20
	// answerPiece bounds how much of a complete answer is written at once, in bytes. The caller's
	// progress is measured after each piece, so that small answers have smaller ones.
	answerPiece = 64 << 10
)
