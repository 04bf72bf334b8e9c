package requestlog

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/event"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// The judgements in force are those that began and have not ended, on hosts that have not
// been restarted since.
func TestJudgementsInForce(t *testing.T) {
	begun := func(server, standing string, born int64) event.StandingBegun {
		return event.StandingBegun{Server: server, Standing: standing, StartedMS: born, Source: "answer", Until: "later"}
	}
	one, two := &hostLog{host: "entry-1"}, &hostLog{host: "entry-2"}
	one.at(0, begun("s1", "leaving", 1)).
		at(10, begun("s1", "full", 1)).
		at(20, begun("s2", "full", 1)).
		at(30, event.StandingEnded{Server: "s1", Standing: "full", StartedMS: 1}).
		at(40, event.StandingEnded{Server: "s2", Standing: "full", StartedMS: 2})
	two.at(0, begun("s3", "leaving", 1)).
		at(5, event.HostStarted{}).
		at(15, begun("s1", "leaving", 1))
	two.out.WriteString("text of another program\n")

	list, err := Judgements([]Log{two, one})
	require.NoError(t, err)
	var got []string
	for _, j := range list {
		got = append(got, j.Server+" "+j.Standing+" "+j.Host)
	}
	require.Equal(t, []string{"s1 leaving entry-1", "s1 leaving entry-2", "s2 full entry-1"}, got)
	_, err = Judgements([]Log{missing{}})
	require.Equal(t, fault.BadSettings, fault.KindOf(err))
}
