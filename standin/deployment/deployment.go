// Package deployment is a stand-in of the users' platform, in memory: its store, and
// backend servers of one service. Faults are injected over HTTP, see Handler.
package deployment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/platform/platformtest"
)

const (
	// service is the service of all backend servers.
	service = "stock"
	// RequestHost is the host name of the configuration's routes.
	RequestHost = "shop.example"
	// responseDelay is how long a server takes to run a request.
	responseDelay = 20 * time.Millisecond
)

// routes are the routes of the configuration: lookups may run more than once, orders not.
var routes = []platformtest.Route{
	{Name: "look", Host: RequestHost, Prefix: "/look/", Idempotent: true},
	{Name: "book", Host: RequestHost, Prefix: "/book/"},
}

// Deployment is the store and the backend servers.
type Deployment struct {
	store   *platformtest.Store
	servers []*platformtest.Instance
	stop    context.CancelFunc
	running sync.WaitGroup
}

// New starts a backend server at each address; the first one is named s-1. Close ends
// them.
func New(addresses []string) (*Deployment, error) {
	ctx, stop := context.WithCancel(context.Background())
	d := &Deployment{store: platformtest.NewStore(), stop: stop}
	if err := d.start(addresses); err != nil {
		d.Close()
		return nil, err
	}
	d.running.Add(1)
	go func() {
		defer d.running.Done()
		platformtest.RunHeartbeats(ctx, d.servers)
	}()
	return d, nil
}

// start publishes the configuration and starts the servers.
func (d *Deployment) start(addresses []string) error {
	if err := d.store.PutConfig(1, service, routes); err != nil {
		return fault.Wrap(fault.Internal, err, "publish the configuration")
	}
	for i, address := range addresses {
		s := &platformtest.Instance{
			ID:      fmt.Sprintf("s-%d", i+1),
			Service: service,
			Store:   d.store,
			Listen:  address,
			Address: address,
			OnStart: func(b *platformtest.Backend) { b.ResponseDelay = responseDelay },
		}
		if err := s.Start(); err != nil {
			return fault.Wrap(fault.BadSettings, err, "start "+s.ID)
		}
		d.servers = append(d.servers, s)
	}
	return nil
}

// Close ends the backend servers and the calls that wait at the store.
func (d *Deployment) Close() {
	d.stop()
	d.running.Wait()
	for _, s := range d.servers {
		s.Crash()
	}
	d.store.Close()
}

// server returns the server with an id, or nil.
func (d *Deployment) server(id string) *platformtest.Instance {
	for _, s := range d.servers {
		if s.ID == id {
			return s
		}
	}
	return nil
}
