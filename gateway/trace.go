package gateway

import (
	"hash/fnv"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/cluster"
	"github.com/lacewingsaddle/lacewingsaddle/event"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// sampleEvery is the sampling interval: one request in sampleEvery has all its
// events logged, whatever its outcome. The choice depends on the request's id alone.
const sampleEvery = 32

// sampled reports whether all events of a request are logged.
func sampled(id string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return h.Sum32()%sampleEvery == 0
}

func (g *Gateway) writeEvent(e event.Event) { event.Write(g.logger, e) }

// mapAgeMillis returns the age of the map of owners in milliseconds.
func (g *Gateway) mapAgeMillis() float64 { return event.Millis(g.control.MapAge()) }

// mapVersion returns the version of a view's map of owners.
func mapVersion(v *cluster.View) (epoch, change uint64) {
	if v.Owners == nil {
		return 0, 0
	}
	return v.Owners.Version.Epoch, v.Owners.Version.Change
}

func (g *Gateway) recordAccepted(q *request) {
	if !q.sampled {
		return
	}
	g.writeEvent(event.RequestReceived{
		Request:    q.id,
		Route:      q.routeName(),
		Service:    q.service.Name,
		Keyed:      q.keyed,
		Key:        uint16(q.key),
		Bytes:      q.length,
		Config:     q.config,
		DeadlineMS: event.Millis(q.remaining()),
	})
}

func (g *Gateway) recordSent(q *request, s *server, waited time.Duration) {
	g.Metrics.observeQueueTime(q, waited)
	if !q.sampled {
		return
	}
	view := g.control.View()
	epoch, change := mapVersion(view)
	inFlight, limit := s.limiter.state()
	g.writeEvent(event.RequestSent{
		Request:     q.id,
		Server:      s.Holder.ID,
		Address:     s.Address,
		Send:        q.sends,
		Keyed:       q.keyed,
		Key:         uint16(q.key),
		MapEpoch:    epoch,
		MapChange:   change,
		MapAgeMS:    g.mapAgeMillis(),
		Directory:   view.Servers.Version.Change,
		WaitedMS:    event.Millis(waited),
		Outstanding: inFlight,
		Limit:       limit,
	})
}

func (g *Gateway) recordSendFailed(q *request, s *server, err error, took time.Duration) {
	g.Metrics.sendFailed(err)
	epoch, change := mapVersion(g.control.View())
	g.writeEvent(event.SendFailed{
		Request:    q.id,
		Server:     s.Holder.ID,
		Address:    s.Address,
		Send:       q.sends,
		TookMS:     event.Millis(took),
		Kind:       fault.KindOf(err),
		MayHaveRun: mayHaveRun(err),
		Keyed:      q.keyed,
		Key:        uint16(q.key),
		MapEpoch:   epoch,
		MapChange:  change,
		MapAgeMS:   g.mapAgeMillis(),
		Error:      err.Error(),
	})
}

func (g *Gateway) recordRetry(q *request, err error, waited time.Duration) {
	g.Metrics.count("second_tries." + q.service.Name)
	g.writeEvent(event.Retry{
		Request:  q.id,
		Send:     q.sends,
		Kind:     fault.KindOf(err),
		LeftMS:   event.Millis(q.remaining()),
		WaitedMS: event.Millis(waited),
	})
}

func (g *Gateway) recordRetryDenied(q *request, err error, why event.Reason) {
	if why == event.ReasonBudget {
		g.Metrics.count("second_tries_denied." + q.service.Name)
	}
	g.writeEvent(event.RetryDenied{
		Request: q.id,
		Send:    q.sends,
		Kind:    fault.KindOf(err),
		Reason:  why,
		LeftMS:  event.Millis(q.remaining()),
	})
}

// recordAnswered counts an answered request. It logs the event if the response was
// late or a server error, or the request is sampled.
func (g *Gateway) recordAnswered(q *request, status int) {
	took := time.Since(q.arrived)
	g.Metrics.answered(q, status, took)
	late := took > q.target()
	if !q.sampled && !late && status < 500 {
		return
	}
	g.writeEvent(event.RequestAnswered{
		Request:  q.id,
		Route:    q.routeName(),
		Service:  q.service.Name,
		Server:   q.lastServer,
		Status:   status,
		Sends:    q.sends,
		TookMS:   event.Millis(took),
		TargetMS: event.Millis(q.route.Target),
	})
}

func (g *Gateway) recordRefused(q *request, status int, err error, retry time.Duration) {
	g.Metrics.refused(status, err)
	outcome := fault.NotRun
	if q.mayHaveRun {
		outcome = fault.Unknown
	}
	epoch, change := mapVersion(g.control.View())
	g.writeEvent(event.RequestRefused{
		Request:   q.id,
		Route:     q.routeName(),
		Service:   q.serviceName(),
		Server:    refusedFor(err),
		Keyed:     q.keyed,
		Key:       uint16(q.key),
		Status:    status,
		Outcome:   outcome,
		Kind:      fault.KindOf(err),
		Sends:     q.sends,
		AfterMS:   event.Millis(time.Since(q.arrived)),
		RetryMS:   event.Millis(retry),
		Config:    q.config,
		MapEpoch:  epoch,
		MapChange: change,
		MapAgeMS:  g.mapAgeMillis(),
		Error:     err.Error(),
	})
}

func (g *Gateway) recordCallerLeft(q *request, err error) {
	g.Metrics.count("callers_left")
	g.writeEvent(event.CallerLeft{
		Request: q.id,
		Route:   q.routeName(),
		Sends:   q.sends,
		AfterMS: event.Millis(time.Since(q.arrived)),
		Error:   event.ErrorText(err),
	})
}

func (g *Gateway) recordResponseAborted(q *request, passed int64, err error) {
	g.Metrics.count("answers_broken")
	g.writeEvent(event.AnswerBroken{
		Request: q.id,
		Server:  q.lastServer,
		Bytes:   passed,
		AfterMS: event.Millis(time.Since(q.arrived)),
		Error:   event.ErrorText(err),
	})
}

func (q *request) routeName() string {
	if q.route == nil {
		return ""
	}
	return q.route.Name
}

func (q *request) serviceName() string {
	if q.service == nil {
		return ""
	}
	return q.service.Name
}
