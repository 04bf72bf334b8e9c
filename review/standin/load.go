package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// load sends requests at a steady rate until it is stopped.
type load struct {
	stop chan struct{}
	done sync.WaitGroup
}

// startLoad sends perSecond requests that next returns, each to a random host.
func (w *world) startLoad(perSecond float64, next func() request, seen func(request, answer)) *load {
	l := &load{stop: make(chan struct{})}
	l.done.Add(1)
	go func() {
		defer l.done.Done()
		t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer t.Stop()
		for {
			select {
			case <-t.C:
			case <-l.stop:
				return
			}
			l.done.Add(1)
			go func() {
				defer l.done.Done()
				q := next()
				a := w.send(w.hosts[rand.IntN(len(w.hosts))], q)
				if seen != nil {
					seen(q, a)
				}
			}()
		}
	}()
	return l
}

// end stops the load and waits for its last answers.
func (l *load) end() {
	close(l.stop)
	l.done.Wait()
}
