package eligibility

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

func TestParseRetryAfter(t *testing.T) {
	date := func(d time.Duration) string { return begin.Add(d).Format(http.TimeFormat) }
	for _, c := range []struct {
		name   string
		values []string
		date   string // of the answer
		want   time.Duration
		fails  bool
	}{
		{"none", nil, "", 0, false},
		{"seconds", []string{"3"}, "", 3 * time.Second, false},
		{"zero", []string{"0"}, "", 0, false},
		{"a fraction", []string{"0.25"}, "", 250 * time.Millisecond, false},
		{"a fraction without a zero", []string{" .5\t"}, "", 500 * time.Millisecond, false},
		{"a date", []string{date(7 * time.Second)}, "", 7 * time.Second, false},
		{"a date by a clock that is 1 h ahead", []string{date(time.Hour + 7*time.Second)}, date(time.Hour), 7 * time.Second, false},
		{"a date beside an unreadable one", []string{date(7 * time.Second)}, "yesterday", 7 * time.Second, false},
		{"a date in the past", []string{date(-time.Hour)}, "", 0, false},
		{"a date in the far future", []string{"Fri, 31 Dec 9999 23:59:59 GMT"}, "", maxPause, false},
		{"huge", []string{"86400"}, "", maxPause, false},
		{"beyond every number", []string{strings.Repeat("9", 400)}, "", maxPause, false},
		{"the longest of several", []string{"1", "4", "2"}, "", 4 * time.Second, false},
		{"a readable one of several", []string{"soon", "2"}, "", 2 * time.Second, false},
		{"negative", []string{"-3"}, "", 0, true},
		{"with a sign", []string{"+3"}, "", 0, true},
		{"an exponent", []string{"1e2"}, "", 0, true},
		{"infinite", []string{"Inf"}, "", 0, true},
		{"no number", []string{"NaN"}, "", 0, true},
		{"hexadecimal", []string{"0x10"}, "", 0, true},
		{"two points", []string{"1.2.3"}, "", 0, true},
		{"a point", []string{"."}, "", 0, true},
		{"a comma", []string{"1,5"}, "", 0, true},
		{"a unit", []string{"3s"}, "", 0, true},
		{"words", []string{"in a while"}, "", 0, true},
		{"empty", []string{""}, "", 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, err := ParseRetryAfter(c.values, c.date, begin)
			require.Equal(t, c.want, d)
			require.Equal(t, c.fails, err != nil)
			if c.fails {
				require.Equal(t, fault.BadMessage, fault.KindOf(err))
				require.Less(t, len(err.Error()), 200)
			}
		})
	}
}

func TestParseLeaving(t *testing.T) {
	for _, c := range []struct {
		name   string
		values []string
		want   bool
		fails  bool
	}{
		{"none", nil, false, false},
		{"one", []string{"1"}, true, false},
		{"spaces", []string{" 1 "}, true, false},
		{"several lines", []string{"", "1"}, true, false},
		{"a list", []string{"1, 1"}, true, false},
		{"empty", []string{""}, false, false},
		{"zero", []string{"0"}, false, true},
		{"a word", []string{"yes"}, false, true},
		{"long", []string{strings.Repeat("1", 5000)}, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := ParseLeaving(c.values)
			require.Equal(t, c.want, got)
			require.Equal(t, c.fails, err != nil)
			if c.fails {
				require.Less(t, len(err.Error()), 200)
			}
		})
	}
}

// Whatever a server sends, the time is neither negative nor longer than the bound, and
// an unreadable value is none.
func FuzzParseRetryAfter(f *testing.F) {
	for _, v := range []string{"3", "0.5", "-1", "1e9", "soon", "Fri, 02 Jan 2026 03:04:09 GMT", "99999999999999999999", "", "\x00", "1.", "NaN"} {
		f.Add(v, "3", "Fri, 02 Jan 2026 03:04:05 GMT")
	}
	f.Fuzz(func(t *testing.T, a, b, date string) {
		d, err := ParseRetryAfter([]string{a, b}, date, begin)
		require.GreaterOrEqual(t, d, time.Duration(0))
		require.LessOrEqual(t, d, maxPause)
		if err != nil {
			require.Zero(t, d)
		}
		single, err := ParseRetryAfter([]string{a}, date, begin)
		if err == nil {
			require.GreaterOrEqual(t, d, single, "the longest holds")
		}
	})
}

// Only the agreed value makes a server leave.
func FuzzParseLeaving(f *testing.F) {
	for _, v := range []string{"1", "0", "", "1,0", " 1", "true", "11", "\x001"} {
		f.Add(v)
	}
	f.Fuzz(func(t *testing.T, v string) {
		got, err := ParseLeaving([]string{v})
		if got {
			require.NoError(t, err)
			require.Contains(t, v, leavingValue)
		}
	})
}
