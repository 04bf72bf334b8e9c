package main

import (
	"math/rand/v2"
	"time"
)

const (
	requestHost = "ficu95.example"
	services    = `"services":[{"name":"grower-portal","health_path":"/health","max_conns":60,"protocol":"h1","tls":false,"sharded":true,"warm_s":3.0,"grants":"request"},` +
		`{"name":"mill-scheduler","health_path":"/health","max_conns":60,"protocol":"h1","tls":false}]`
	limits       = `"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}`
	lookupRoute  = `{"name":"r-lookup","host":"ficu95.example","path_prefix":"/lohu930/","kind":"idempotent","timeout_s":2,"target_latency_s":0.6,"priority":2,"service":"grower-portal","max_attempts":2}`
	reserveRoute = `{"name":"r-reserve","host":"ficu95.example","path_prefix":"/pufi791/","kind":"non_idempotent","timeout_s":2.5,"target_latency_s":0.8,"priority":1,"service":"grower-portal","max_attempts":2}`
	orderRoute   = `{"name":"r-order","host":"ficu95.example","path_prefix":"/pule252/","kind":"non_idempotent","timeout_s":1.5,"target_latency_s":0.5,"priority":2,"service":"mill-scheduler","max_attempts":2}`
)

// settle is how long the cases play without a disruption first: over contact_s, and until
// the keys are spread.
const settle = 8 * time.Second

// workOf returns a function that returns work times around a mean.
func workOf(mean time.Duration) func() time.Duration {
	return func() time.Duration { return time.Duration((0.7 + 0.6*rand.Float64()) * float64(mean)) }
}

func lookup(key int) request {
	return request{method: "GET", host: requestHost, path: "/lohu930/2f", key: key, deadline: 4 * time.Second}
}

func reserve(key int) request {
	return request{method: "POST", host: requestHost, path: "/pufi791/2f", key: key, deadline: 5 * time.Second, body: "one wheelset"}
}

func order(key int) request {
	return request{method: "DELETE", host: requestHost, path: "/pule252/2f", key: key, deadline: 3 * time.Second}
}

// anyKey returns a random key.
func anyKey() int { return rand.IntN(65536) }

// startMixedLoad sends lookups, reservations and orders.
func (w *world) startMixedLoad(perSecond float64, seen func(request, answer)) *load {
	return w.startLoad(perSecond, func() request {
		switch rand.IntN(10) {
		case 0, 1:
			return order(anyKey())
		case 2, 3, 4:
			return reserve(anyKey())
		}
		return lookup(anyKey())
	}, seen)
}
