package soak

import (
	"context"
	"time"
)

// tourPause is the pause between two steps of a tour.
const tourPause = time.Second

// tourStep is one fault or piece of planned work of length d.
type tourStep func(w *world, d time.Duration)

// tour holds the steps of a tour, in order. They concern different hosts and servers, so
// that each step finds what it needs running.
var tour = []tourStep{
	func(w *world, _ time.Duration) { w.publishConfig() },
	func(w *world, d time.Duration) { serverCrash(w, 0, d) },
	func(w *world, d time.Duration) { serverDrain(w, 1, d) },
	func(w *world, d time.Duration) { serverFull(w, 2, d) },
	func(w *world, d time.Duration) { storeFault(w, 0, d) },
	func(w *world, d time.Duration) { plannedStop(w, 1, d) },
	func(w *world, d time.Duration) { kill(w, 0, d) },
}

// runTour takes the steps of the tour, each with the configured length.
func (w *world) runTour(ctx context.Context) {
	for _, step := range tour {
		time.Sleep(tourPause)
		if ctx.Err() != nil {
			return
		}
		step(w, w.cfg.Length)
	}
}
