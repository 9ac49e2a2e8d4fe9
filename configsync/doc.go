// Package configsync publishes the operators' configuration through the
// platform's key-value store and keeps every process on the newest revision.
//
// The decision logic performs no I/O: Publication is the state machine of one
// publish, Reconcile compares the newest known document with the store,
// ZoneOrders merges volatile zone orders, and IsWatcher selects the entries
// that watch the platform. Publisher and Syncer perform the I/O.
package configsync
