package cluster

import (
	"fmt"
	"runtime/debug"

	"github.com/lacewingsaddle/lacewingsaddle/event"
)

// contain runs f, which handles a message of another host on the control goroutine. A
// panic ends that message only. This is limited to messages, which change views and
// reported load: a panic in a step of the assigner's own machine ends the process, as
// its state may be inconsistent and a restart reads it anew.
func (c *Cluster) contain(message string, f func()) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		c.stats.Panics.Inc(1)
		c.logEvent(event.PanicContained{Message: message, Value: fmt.Sprint(v), Stack: string(debug.Stack())})
	}()
	f()
}

// RecordBadMessage counts and logs a message of another host that was rejected.
func (c *Cluster) RecordBadMessage(err error) {
	c.stats.BadMessages.Inc(1)
	c.logEvent(event.MessageRejected{Error: err.Error()})
}
