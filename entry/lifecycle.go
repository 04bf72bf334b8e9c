package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
)

const (
	// leaveTimeout bounds the wait for the leave record during a log outage.
	leaveTimeout = 5 * time.Second
	// reloadInterval is the time between two checks of the TLS files.
	reloadInterval = 5 * time.Second
)

// listeners are a host's open listeners.
type listeners struct {
	peers, admin, callers net.Listener
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.peers, l.admin, l.callers} {
		if listener != nil {
			_ = listener.Close()
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

// Start opens the listeners and starts the host's goroutines. On an error no
// listener stays open and nothing runs.
func (h *Host) Start(context.Context) error {
	l, err := h.listenAll()
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	h.cancel = stop
	h.spawn(func() { _ = h.peerServer.Serve(ctx, l.peers) })
	h.spawn(func() { h.serve(h.adminServer, l.admin, "operators") })
	h.spawn(func() { h.serve(h.callerServer, l.callers, "callers") })
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

// server is an http.Server or an httpdrain.Server.
type server interface{ Serve(l net.Listener) error }

func (h *Host) serve(s server, l net.Listener, clients string) {
	err := s.Serve(l)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		h.logger.Error("entry: listener failed", zap.String("for", clients), zap.Error(err))
	}
}

// Reload reads the TLS files again. On an error the previous certificates and
// keys stay in use.
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
			h.logger.Error("entry: cannot load the TLS files; the previous certificates and keys stay in use", zap.Error(err))
		} else if changed {
			h.logger.Info("entry: TLS files reloaded")
		}
	}
}

// Stop shuts the host down as planned. It reports that the host is not ready,
// keeps accepting requests for StopGrace, waits up to DrainTimeout for the
// requests in flight and then leaves the membership. The leave record comes
// last, because the other members wait for the requests in flight of a member,
// but not for those of a host that has left. Meanwhile each connection is closed after
// its next response, so that no request arrives on one that is being closed. An error
// means that requests were cut off; a leave record that is not confirmed is only logged.
func (h *Host) Stop(ctx context.Context) error {
	h.stopping.Store(true)
	h.logger.Info("entry: stopping; the host reports that it is not ready")
	h.callerServer.StopKeepAlive()
	h.waitGrace(ctx)
	drain, cancel := context.WithTimeout(ctx, h.Settings.Limits.DrainTimeout)
	defer cancel()
	var err error
	if left := h.callerServer.Drain(drain); left > 0 {
		err = fault.Newf(fault.Timeout, "requests in flight were cut off: %d callers' connections are open", left)
	}
	leave, cancelLeave := context.WithTimeout(ctx, leaveTimeout)
	defer cancelLeave()
	h.leave(leave)
	h.logger.Info("entry: stopped")
	h.close()
	return err
}

// leave ends this host's membership. If the log cannot accept the leave record,
// a peer keeps this host's seat for the process that replaces it.
func (h *Host) leave(ctx context.Context) {
	if err := h.Control.Leave(ctx); err != nil {
		h.logger.Warn("entry: the leave record is not confirmed; the other members will remove this host", zap.Error(err))
	}
}

// waitGrace waits for StopGrace, in which the load balancer can notice that the
// host is not ready.
func (h *Host) waitGrace(ctx context.Context) {
	timer := time.NewTimer(h.Settings.Limits.StopGrace)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Kill stops the host at once and without a leave record, as a crash would.
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

// countRequests counts callers' requests.
func (h *Host) countRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.requests.Add(1)
		h.inFlight.Add(1)
		defer h.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}
