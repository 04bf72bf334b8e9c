// Package hotkeys finds the most requested keys of each service and decides which
// of them are pinned, that is, get an owner of their own.
package hotkeys

// Recorder counts requests by key. Implementations must be safe for concurrent
// use.
type Recorder interface {
	Record(service, key string)
}

// Count is one key's estimated number of requests.
type Count struct {
	Key      string
	Requests uint64
}

// Summary holds the recent request counts of a service on one or more hosts.
type Summary struct {
	Total uint64  // requests of all keys
	Keys  []Count // the most requested keys, highest first
}
