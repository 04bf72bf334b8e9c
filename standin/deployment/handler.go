package deployment

import (
	"net/http"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/platform/platformtest"
)

// defaultFullTime is how long a server is full unless the query tells it.
const defaultFullTime = 5 * time.Second

// storeFaults are the faults of the store by the names in URLs.
var storeFaults = map[string]platformtest.Fault{
	"none":         platformtest.NoFault,
	"down":         platformtest.Down,
	"busy":         platformtest.Busy,
	"silent":       platformtest.Silent,
	"lost-answers": platformtest.LostAnswer,
	"full":         platformtest.Full,
}

// Handler serves the store and the calls that inject faults:
//
//	POST /-/servers/ID/leave         it announces that it leaves, and drains
//	POST /-/servers/ID/full?for=5s   it rejects requests for a while
//	POST /-/servers/ID/crash         it ends at once
//	POST /-/servers/ID/start         it starts again
//	POST /-/store/FAULT              none, down, busy, silent, lost-answers or full
func (d *Deployment) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", d.store)
	mux.HandleFunc("POST /-/servers/{id}/leave", d.onServer(leave))
	mux.HandleFunc("POST /-/servers/{id}/full", d.onServer(becomeFull))
	mux.HandleFunc("POST /-/servers/{id}/crash", d.onServer(crash))
	mux.HandleFunc("POST /-/servers/{id}/start", d.onServer(start))
	mux.HandleFunc("POST /-/store/{fault}", d.setStoreFault)
	return mux
}

// onServer returns a handler that applies f to the server that the path names.
func (d *Deployment) onServer(f func(*platformtest.Instance, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s := d.server(r.PathValue("id"))
		if s == nil {
			http.Error(w, "no server "+r.PathValue("id"), http.StatusNotFound)
			return
		}
		if err := f(s, r); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

func (d *Deployment) setStoreFault(w http.ResponseWriter, r *http.Request) {
	f, ok := storeFaults[r.PathValue("fault")]
	if !ok {
		http.Error(w, "no fault "+r.PathValue("fault"), http.StatusNotFound)
		return
	}
	d.store.SetFault(f)
	w.WriteHeader(http.StatusNoContent)
}
