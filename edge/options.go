package edge

import (
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/cluster"
	"github.com/lacewingsaddle/lacewingsaddle/gateway"
)

// Options configure a Host.
type Options struct {
	Host      string
	Traffic   string // listen addresses for callers, readiness checks, peers and metrics
	Readiness string
	Peer      string
	Metrics   string
	Seeds     []string      // peer addresses to contact while the store is unavailable
	CPU       float64       // share of a core; 0 means unknown
	LinkMbps  float64       // 0 means unknown
	StopGrace time.Duration // from the stop signal (SIGTERM) to the kill
	HoldMax   time.Duration // longest grant that backend servers accept
	Gateway   gateway.Config
	// DroppedLines returns the number of log lines that could not be written. It may
	// be nil.
	DroppedLines func() int64
}

// A host below either minimum becomes the assigner only if no other host does,
// because the assigner communicates with every host and every backend server.
const (
	minAssignerCPU      = 0.25 // share of a core
	minAssignerLinkMbps = 50.0 // Mbit/s
)

// belowAssignerMinimum reports whether the host is a candidate for assigner only if
// there is no other. An unknown CPU share or link speed is not below the minimum.
func (o Options) belowAssignerMinimum() bool {
	return o.CPU > 0 && o.CPU < minAssignerCPU || o.LinkMbps > 0 && o.LinkMbps < minAssignerLinkMbps
}

// clusterConfig returns the settings of the host's control state.
func (o Options) clusterConfig(self assigner.Host) cluster.Config {
	return cluster.Config{
		Self:    self,
		HoldMax: o.HoldMax,
		Small:   o.belowAssignerMinimum(),
		Seeds:   o.Seeds,
	}
}
