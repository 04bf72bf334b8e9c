package assigner

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

func TestRecordsAreReadAsWritten(t *testing.T) {
	a, b := keyrange.Holder{ID: "a", StartedMS: 1}, keyrange.Holder{ID: "b", StartedMS: 2}
	r := Record{
		Epoch: 3, Change: 4, Assigner: Host{Name: "h", Incarnation: "x", Peer: "p"}, Fences: 99,
		Tables: []keyrange.Table{{Service: "s", Ranges: []keyrange.Range{
			{From: 0, To: 9, Owner: a, Fence: 7, Prior: []keyrange.Holder{b}},
			{From: 10, To: keyrange.MaxKey, Owner: b, Fence: 8},
		}}},
		Leaving: []keyrange.Holder{b},
	}
	data, err := json.Marshal(r)
	require.NoError(t, err)
	var got Record
	require.NoError(t, json.Unmarshal(data, &got))
	require.Equal(t, r, got)
}

func TestInvalidRecords(t *testing.T) {
	for _, text := range []string{
		`{"epoch":"x"}`,
		`{"tables":[{"service":"s","ranges":[[9,0,1]]}]}`,
		`{"servers":[{"id":"a"}],"tables":[{"service":"s","ranges":[[9,0,1],[5,0,1]]}]}`,
		`{"servers":[{"id":"a"}],"tables":[{"service":"s","ranges":[[70000,0,1]]}]}`,
		`{"servers":[{"id":"a"}],"tables":[{"service":"s","ranges":[[9,0,1]],"prior":[[4,0]]}]}`,
	} {
		err := json.Unmarshal([]byte(text), &Record{})
		require.Equal(t, fault.BadRecord, fault.KindOf(err), text)
	}
}

func FuzzRecord(f *testing.F) {
	f.Add([]byte(`{"leaving":[]}`))
	f.Add([]byte(`{"leaving":[{"id":"a","born":1}]}`))
	f.Add([]byte(`{"servers":[{"id":"a"}],"tables":[{"service":"s","ranges":[[9,0,1]],"prior":[[0,0]]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var r Record
		if json.Unmarshal(data, &r) != nil {
			return
		}
		again, err := json.Marshal(r)
		require.NoError(t, err)
		var got Record
		require.NoError(t, json.Unmarshal(again, &got))
		require.Equal(t, r, got)
	})
}
