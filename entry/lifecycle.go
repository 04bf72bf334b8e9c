package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
	"golang.org/x/net/netutil"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
)

const (
	// leaveTimeout bounds the wait for the leave record during a log outage.
	leaveTimeout = 5 * time.Second
	// reloadInterval separates two looks at the TLS files.
	reloadInterval = 5 * time.Second
)

// listeners are a host's open listeners.
type listeners struct {
	peers, admin, callers net.Listener
}

func (l listeners) close() {
	for _, one := range []net.Listener{l.peers, l.admin, l.callers} {
		if one != nil {
			_ = one.Close()
		}
	}
}

func (h *Host) listenAll() (l listeners, err error) {
	defer func() {
		if err != nil {
			l.close()
		}
	}()
	if l.peers, err = h.listenPeers(); err != nil {
		return l, err
	}
	if l.admin, err = h.listenAdmin(); err != nil {
		return l, err
	}
	l.callers, err = h.listen(h.Settings.Listen, "callers")
	return l, err
}

// Start opens the listeners and starts control. A host that fails to start
// leaves nothing behind.
func (h *Host) Start(context.Context) error {
	l, err := h.listenAll()
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	h.cancel = stop
	h.spawn(func() { _ = h.peerServer.Serve(ctx, l.peers) })
	h.spawn(func() { h.serve(h.adminServer, l.admin, "operators") })
	callers := netutil.LimitListener(l.callers, h.Settings.Limits.Connections)
	h.spawn(func() { h.serve(h.callerServer, callers, "callers") })
	if h.tlsSource != nil {
		h.spawn(func() { h.watchTLSFiles(ctx) })
	}
	h.spawn(func() { h.sampleMeasures(ctx) })
	h.spawn(func() { h.claimCoordinator.RebalanceOnChange(ctx, h.members, h.Control.Changed) })
	h.Control.Start()
	h.watcher.start()
	h.logger.Info("entry: host started", zap.String("listen", h.Settings.Listen),
		zap.String("peer", h.Settings.Peer), zap.String("admin", h.Settings.Admin))
	return nil
}

func (h *Host) members() []ownership.Member { return h.Control.Snapshot().View.Members }

func (h *Host) spawn(f func()) { h.goroutines.Go(f) }

func (h *Host) serve(s *http.Server, l net.Listener, whom string) {
	err := s.Serve(l)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		h.logger.Error("entry: listener failed", zap.String("for", whom), zap.Error(err))
	}
}

// Reload reads the TLS files again. On an error the keys stay as they were.
func (h *Host) Reload() error {
	if h.tlsSource == nil {
		return nil
	}
	return h.tlsSource.Reload()
}

func (h *Host) watchTLSFiles(ctx context.Context) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		changed, err := h.tlsSource.ReloadIfChanged()
		if err != nil {
			h.logger.Error("entry: TLS files are unusable, keeping the old keys", zap.Error(err))
		} else if changed {
			h.logger.Info("entry: TLS files reloaded")
		}
	}
}

// Stop ends the host as planned: it tells the balancer that it is not ready
// and takes requests for a grace time, lets the requests in flight end, and
// then leaves. The leave record comes last, because the other members wait for
// a member's requests in flight and no longer for those of one that has left.
// An error means that requests were cut off or that the record did not show.
func (h *Host) Stop(ctx context.Context) error {
	h.stopping.Store(true)
	h.logger.Info("entry: stopping, not ready any more")
	h.waitGrace(ctx)
	drain, cancel := context.WithTimeout(ctx, h.Settings.Limits.DrainTimeout)
	defer cancel()
	err := h.callerServer.Shutdown(drain)
	if err != nil {
		err = fault.Wrap(fault.Timeout, err, "requests in flight were cut off")
	}
	leave, cancelLeave := context.WithTimeout(ctx, leaveTimeout)
	defer cancelLeave()
	h.leave(leave)
	h.logger.Info("entry: stopped")
	h.close()
	return err
}

// leave ends this host's membership. While the log cannot take the record, a
// peer keeps this host's seat for the process that replaces it.
func (h *Host) leave(ctx context.Context) {
	if err := h.Control.Leave(ctx); err != nil {
		h.logger.Warn("entry: leaving is not settled; the others will remove this host", zap.Error(err))
	}
}

// waitGrace waits until the balancer has had the time to notice.
func (h *Host) waitGrace(ctx context.Context) {
	timer := time.NewTimer(h.Settings.Limits.StopGrace)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Kill stops the host at once, as a crash would.
func (h *Host) Kill() { h.close() }

func (h *Host) close() {
	_ = h.callerServer.Close()
	_ = h.adminServer.Close()
	h.watcher.stop()
	h.Control.Stop()
	h.cancel()
	h.peerClient.Close()
	h.requestClient.Close()
	h.Backends.Close()
	h.goroutines.Wait()
}

// countRequests counts callers' requests and, during a planned stop, has each
// connection closed after its answer, so that none is closed between requests.
func (h *Host) countRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.requests.Add(1)
		h.inFlight.Add(1)
		defer h.inFlight.Add(-1)
		if h.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
