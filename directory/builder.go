package directory

import "sort"

// builder applies changes to a copy of a directory.
type builder struct {
	servers map[string]Server
	removed map[string]Server
}

func newBuilder(s *Snapshot) *builder {
	b := &builder{servers: make(map[string]Server, len(s.Servers)), removed: make(map[string]Server, len(s.removed))}
	for _, v := range s.Servers {
		b.servers[v.Holder.ID] = v
	}
	for _, v := range s.removed {
		b.removed[v.Holder.ID] = v
	}
	return b
}

// apply applies c and reports whether it changed more than the remaining cold time.
func (b *builder) apply(c Change) bool {
	old, known := b.servers[c.ID]
	if c.Server == nil {
		if known {
			b.removed[c.ID] = old
		}
		delete(b.servers, c.ID)
		return known
	}
	v := *c.Server
	if known && v.olderThan(old) {
		return false
	}
	if gone, ok := b.removed[c.ID]; ok && !known && !gone.olderThan(v) {
		return false
	}
	delete(b.removed, c.ID)
	b.servers[c.ID] = v
	old.Cold, v.Cold, old.Seq, v.Seq = 0, 0, 0, 0
	return !known || old != v
}

// keepRemoved removes a server unless it is listed with a newer entry than its last.
func (b *builder) keepRemoved(gone Server) {
	if v, ok := b.servers[gone.Holder.ID]; ok {
		if gone.olderThan(v) {
			return
		}
		delete(b.servers, gone.Holder.ID)
	}
	b.removed[gone.Holder.ID] = gone
}

// keepNewer replaces a listed entry by a newer one of the same server.
func (b *builder) keepNewer(v Server) {
	if listed, ok := b.servers[v.Holder.ID]; ok && listed.olderThan(v) {
		b.servers[v.Holder.ID] = v
	}
}

// result returns the present and the removed servers, sorted by ID.
func (b *builder) result() (servers, removed []Server) {
	if len(b.removed) > maxRemoved {
		clear(b.removed)
	}
	return sorted(b.servers), sorted(b.removed)
}

// sorted returns the servers sorted by ID.
func sorted(servers map[string]Server) []Server {
	out := make([]Server, 0, len(servers))
	for _, v := range servers {
		out = append(out, v)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Holder.ID < out[j].Holder.ID })
	return out
}
