package grant

import (
	"maps"
	"slices"
	"strings"

	"github.com/lacewingsaddle/lacewingsaddle/ownership"
)

// ShardToken grants one shard under a token.
type ShardToken struct {
	Shard ownership.Shard `json:"s"`
	Token ownership.Token `json:"t"`
}

// KeyToken grants one pinned key under a token.
type KeyToken struct {
	Key   string          `json:"k"`
	Token ownership.Token `json:"t"`
}

// content is the set of shards and pinned keys granted to one backend server. It is
// immutable.
type content struct {
	shards       []ShardToken // ordered by shard
	keys         []KeyToken   // ordered by key
	lowestTokens map[ownership.Shard]lowestToken
}

// lowestToken is the lowest token granted for a shard or a pinned key in it.
type lowestToken struct{ token ownership.Token }

// serviceContents holds the contents that the routes of one service grant to its
// servers.
type serviceContents struct {
	view     *ownership.ServiceView
	byServer map[string]*content
}

var emptyContent = &content{}

// forServer returns the content of a server, which is empty if it owns nothing.
func (c *serviceContents) forServer(server string) *content {
	if x := c.byServer[server]; x != nil {
		return x
	}
	return emptyContent
}

// newServiceContents groups the routes in force by server. Held routes grant nothing.
func newServiceContents(view *ownership.ServiceView) *serviceContents {
	c := &serviceContents{view: view, byServer: map[string]*content{}}
	for i, r := range view.Routes {
		if r.Held || r.Server == "" {
			continue
		}
		x := c.contentFor(r.Server)
		x.shards = append(x.shards, ShardToken{Shard: ownership.Shard(i), Token: r.Token})
		x.recordLowest(ownership.Shard(i), r.Token)
	}
	for _, key := range slices.SortedFunc(maps.Keys(view.Pins), strings.Compare) {
		r := view.Pins[key]
		if r.Held || r.Server == "" {
			continue
		}
		x := c.contentFor(r.Server)
		x.keys = append(x.keys, KeyToken{Key: key, Token: r.Token})
		x.recordLowest(ownership.ShardOf(key, len(view.Routes)), r.Token)
	}
	return c
}

func (c *serviceContents) contentFor(server string) *content {
	x := c.byServer[server]
	if x == nil {
		x = &content{lowestTokens: map[ownership.Shard]lowestToken{}}
		c.byServer[server] = x
	}
	return x
}

func (x *content) recordLowest(shard ownership.Shard, token ownership.Token) {
	old, ok := x.lowestTokens[shard]
	if !ok || token < old.token {
		x.lowestTokens[shard] = lowestToken{token: token}
	}
}

// grantsBelow reports whether the content grants the shard, or a pinned key in
// it, under a token below the given one.
func (x *content) grantsBelow(shard ownership.Shard, below ownership.Token) bool {
	t, ok := x.lowestTokens[shard]
	return ok && t.token < below
}

func (x *content) equal(o *content) bool {
	return x == o || slices.Equal(x.shards, o.shards) && slices.Equal(x.keys, o.keys)
}
