// Package claiming measures the ledgers that protect non-idempotent calls from
// being executed twice: their added latency and their store writes.
package claiming
