package assigner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// keysBeside returns the number of keys that the owner of a key owns beside it.
func (c *testLeader) keysBeside(key keyrange.Key) int {
	table := c.m.currentMap().Table("stock")
	owner := table.Find(key).Owner
	width := 0
	for _, r := range table.Ranges {
		if r.Owner == owner {
			width += r.Width()
		}
	}
	return width - 1
}

// One key gets 2.5 times what a server's share is. It cannot be divided, so all other keys
// leave its overloaded owner within 5 s, wherever in its range the hot key lies.
func TestNoKeysStayBesideAHotKey(t *testing.T) {
	const hotLoad = 2.5 // relative to the mean load of a server
	for _, servers := range []int{8, 20, 295} {
		for _, position := range []string{"first", "middle", "last"} {
			t.Run(fmt.Sprintf("%s of a range, %d servers", position, servers), func(t *testing.T) {
				for seed := range uint64(5) {
					c := newTestLeader(servers, equalSlots)
					r := rand.New(rand.NewPCG(seed, 4))
					even := func() keyrange.Key { return keyrange.Key(r.IntN(keyrange.KeyCount)) }
					c.run(time.Second)
					c.load(time.Second, servers*7, even)
					in := c.m.currentMap().Table("stock").Find(30000)
					hot := map[string]keyrange.Key{"first": in.From, "middle": (in.From + in.To) / 2, "last": in.To}[position]
					c.load(5*time.Second, servers*7, func() keyrange.Key {
						if r.Float64() < hotLoad/float64(servers) {
							return hot
						}
						return even()
					})
					require.Zero(t, c.keysBeside(hot), "seed %d, of %d keys", seed, in.Width())
				}
			})
		}
	}
}
