package assigner

import "time"

// Config holds the timing parameters of the protocol.
type Config struct {
	Self Host
	// Lease is how long this host may act after the start of a store read that showed
	// its own epoch.
	Lease time.Duration
	// ConfirmEvery is the interval between such reads.
	ConfirmEvery time.Duration
	// ClaimDelay is an extra delay before a claim, for hosts that are less suitable
	// as the assigner.
	ClaimDelay time.Duration
	// SilenceBeforeClaim is how long a host goes without hearing from the assigner
	// before it claims the next epoch. Each rank adds RankDelay.
	SilenceBeforeClaim time.Duration
	RankDelay          time.Duration
	// Hold is the duration of a grant while the store responds in time, HoldMax while
	// it does not.
	Hold    time.Duration
	HoldMax time.Duration
	// RenewEvery is the interval between renewals of a grant.
	RenewEvery time.Duration
	// FirstPlanDelay is the delay of the first plan of a service after its first
	// server was seen, so that other servers can register.
	FirstPlanDelay time.Duration
}

// Timing constants of the protocol.
const (
	// clockDrift is the largest relative error by which a backend server's clock may
	// run slow.
	clockDrift = 0.02
	// holdMargin covers the rounding of durations in messages.
	holdMargin = 30 * time.Millisecond
	// callRetryDelay is the delay before a failed grant or release is retried.
	callRetryDelay = 300 * time.Millisecond
	// storeRetryDelay is the delay before a failed store call is retried.
	storeRetryDelay = 150 * time.Millisecond
	// maxStoreRetryDelay bounds the backoff of store reads with up to retryDelayHosts
	// hosts; with more hosts the bound grows in proportion.
	maxStoreRetryDelay = 900 * time.Millisecond
	retryDelayHosts    = 20
	// minLostEpochDelay and maxLostEpochDelay bound the extra delay before a claim by
	// a host that lost its epoch to another.
	minLostEpochDelay = 500 * time.Millisecond
	maxLostEpochDelay = 2 * time.Second
	// minIsolatedDelay and maxIsolatedDelay bound that delay for a host to which no
	// other host has reported recently.
	minIsolatedDelay = 6 * time.Second
	maxIsolatedDelay = 15 * time.Second
	// takeoverTime is how long a new assigner may need before it has answered every
	// host.
	takeoverTime = 400 * time.Millisecond
	// grantInterval is the interval between the first grants of a new assigner;
	// grantSpread bounds the time in which all of them are sent.
	grantInterval = time.Millisecond
	grantSpread   = 400 * time.Millisecond
	// slowConfirmation is how long a confirmation may take before grants are made for
	// HoldMax.
	slowConfirmation = 250 * time.Millisecond
	// probeInterval is the minimum interval between probe requests for the same
	// suspects. Without it every answer, and every request that meets a suspect,
	// would cause another one.
	probeInterval = 100 * time.Millisecond
	// planInterval is the interval between plans.
	planInterval = 200 * time.Millisecond
	// publishInterval is the minimum interval between publications of the map, and so
	// the longest delay of a change, with up to publishIntervalHosts hosts; with more
	// hosts it grows in proportion, since every publication is sent to every host.
	publishInterval      = 15 * time.Millisecond
	publishIntervalHosts = 60
	// extraHostDelay is added to the delay before a claim for each host above
	// publishIntervalHosts.
	extraHostDelay = 1500 * time.Microsecond
)

// MaxGrantDelay bounds the time from the decision to grant to the last moment at
// which the grant can arrive at the server.
const MaxGrantDelay = 900 * time.Millisecond

// fenceBits is the number of low bits of a fencing token that count the assignments
// within one epoch. The bits above them hold the epoch.
const fenceBits = 24
