package hotkeys

import (
	"slices"
	"strings"
	"time"
)

// Policy says which keys are pinned to an owner of their own.
type Policy struct {
	MaxPins    int           // maximum number of pinned keys
	PinShare   float64       // share of all requests at or above which a key is pinned
	UnpinShare float64       // share below which a key is unpinned; must be less than PinShare
	MinPinTime time.Duration // minimum time for which a key stays pinned
	MaxChanges int           // maximum number of pins and unpins per decision
}

// PolicyFor returns the policy for a service with the given number of servers. A
// key is hot when it alone causes a tenth of one server's mean load.
func PolicyFor(servers, maxPins int) Policy {
	const (
		hotShare  = 0.1 // of one server's mean load
		coolShare = 0.04
	)
	n := float64(max(servers, 1))
	return Policy{
		MaxPins:    maxPins,
		PinShare:   hotShare / n,
		UnpinShare: coolShare / n,
		MinPinTime: time.Minute,
		MaxChanges: 16,
	}
}

// minTotalRequests is the number of requests below which the counts are too small
// to pin or unpin anything.
const minTotalRequests = 1000

// Decide returns the keys to pin, most requested first, and those to unpin, least
// requested first. pinned maps each pinned key to the time since it was pinned.
// Decide is a pure function.
func Decide(s Summary, pinned map[string]time.Duration, p Policy) (pin, unpin []string) {
	if s.Total < minTotalRequests {
		return nil, nil
	}
	share := make(map[string]float64, len(s.Keys))
	for _, c := range s.Keys {
		share[c.Key] = float64(c.Requests) / float64(s.Total)
	}
	for key, held := range pinned {
		if share[key] < p.UnpinShare && held >= p.MinPinTime {
			unpin = append(unpin, key)
		}
	}
	slices.SortFunc(unpin, func(a, b string) int {
		if share[a] != share[b] {
			return compareShares(share[a], share[b])
		}
		return strings.Compare(a, b)
	})
	unpin = unpin[:min(len(unpin), p.MaxChanges)]
	maxNew := min(p.MaxPins-len(pinned)+len(unpin), p.MaxChanges-len(unpin))
	for _, c := range s.Keys {
		if len(pin) >= maxNew || share[c.Key] < p.PinShare {
			break
		}
		if _, isPinned := pinned[c.Key]; !isPinned {
			pin = append(pin, c.Key)
		}
	}
	return pin, unpin
}

func compareShares(a, b float64) int {
	if a < b {
		return -1
	}
	return 1
}
