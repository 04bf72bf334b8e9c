package cluster

import "time"

// Times and sizes of the control loop and of sync requests.
const (
	// tickLeading is the interval between ticks on the assigner, tickFollowing the one
	// on every other host.
	tickLeading   = 20 * time.Millisecond
	tickFollowing = 60 * time.Millisecond
	// syncWait is how long the assigner holds a sync request that has no updates to
	// return.
	syncWait = 150 * time.Millisecond
	// syncTimeout bounds a sync request; after it the assigner counts as silent.
	// It grows with the number of hosts, as the assigner serves them one after the other.
	syncTimeout        = 450 * time.Millisecond
	syncTimeoutPerHost = 2 * time.Millisecond
	// minTickInterval is the minimum interval between the ticks that follow events.
	minTickInterval = 5 * time.Millisecond
	// abandonAfter is how long the assigner's confirmations of its epoch must fail
	// before it asks the other hosts to take over.
	abandonAfter = 500 * time.Millisecond
	// eventQueue bounds the functions queued for the control goroutine.
	eventQueue = 256
	// claimRanks is the number of ranks by which hosts delay their claims to become
	// the assigner.
	claimRanks = 8
)

// Times of the assigner's protocol; see assigner.Config. A successor must take over and
// renew all grants within hold - renewEvery of the end of its predecessor, so that no
// key loses its holder.
const (
	lease              = 1000 * time.Millisecond
	confirmEvery       = 300 * time.Millisecond
	silenceBeforeClaim = 600 * time.Millisecond
	rankDelay          = 80 * time.Millisecond
	// smallClaimDelay is the ClaimDelay of a host with less capacity than others.
	smallClaimDelay = 500 * time.Millisecond
	hold            = 2500 * time.Millisecond
	renewEvery      = 700 * time.Millisecond
	firstPlanDelay  = 1800 * time.Millisecond
)

// Timeouts of the calls to the store and to backend servers that the machine asks for.
const (
	confirmTimeout = 800 * time.Millisecond
	loadTimeout    = 1200 * time.Millisecond
	appendTimeout  = 1500 * time.Millisecond
	// releaseTimeout is long because a server answers only after its running requests
	// have ended.
	releaseTimeout = 8 * time.Second
)
