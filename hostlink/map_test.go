package hostlink

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

func TestPackedMapRoundTrip(t *testing.T) {
	a, b := keyrange.Holder{ID: "a", StartedMS: 1}, keyrange.Holder{ID: "b", StartedMS: 2}
	m := &keyrange.Map{
		Version: keyrange.Version{Epoch: 3, Change: 9},
		Base:    &keyrange.Version{Epoch: 3, Change: 8},
		Tables: []keyrange.Table{{Service: "s", Ranges: []keyrange.Range{
			{From: 0, To: 9, Owner: a, Granted: true},
			{From: 10, To: 10, Owner: b},
			{From: 11, To: keyrange.MaxKey, Owner: a},
		}}},
	}
	require.Equal(t, m, PackMap(m).Unpack())
}

func TestInvalidMapsAreRefused(t *testing.T) {
	for _, ranges := range [][]uint32{{1, 2}, {5, 4, 0}, {0, 70000, 0}, {0, 1, 2}, {5, 9, 0, 1, 2, 0}, {0, 5, 0, 5, 9, 0}} {
		m := &Map{Owners: []keyrange.Holder{{ID: "a"}}, Tables: []MapTable{{Service: "s", Ranges: ranges}}}
		require.Nil(t, m.Unpack(), "%v", ranges)
	}
}
