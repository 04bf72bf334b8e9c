package eligibility

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

const (
	// maxPause bounds the time for which a server is sent nothing because of one answer.
	maxPause = 5 * time.Minute
	// leavingValue is the header value by which a server says that it leaves.
	leavingValue = "1"
	// maxQuoted is the length of an unreadable value in an error, in bytes.
	maxQuoted = 40
)

// Signal is what an answer says about the server that gave it.
type Signal struct {
	Leaving    bool
	RetryAfter time.Duration // for which the server wants no request; 0 means none
}

// ParseLeaving reads the values of the header by which a server says that it leaves. The
// error is of kind BadMessage; a value that is not understood does not make a server leave.
func ParseLeaving(values []string) (bool, error) {
	unreadable := ""
	for _, line := range values {
		for v := range strings.SplitSeq(line, ",") {
			switch v = strings.Trim(v, " \t"); v {
			case leavingValue:
				return true, nil
			case "":
			default:
				unreadable = v
			}
		}
	}
	if unreadable != "" {
		return false, fault.Newf(fault.BadMessage, "%q does not say whether the server leaves", clip(unreadable))
	}
	return false, nil
}

// ParseRetryAfter reads the values of a Retry-After header: seconds, also with a
// fraction, or an HTTP date. The longest of several values holds, and none exceeds
// maxPause. A date is compared with the date of the answer, if it has a valid one, as
// the clocks of the server and of this host may differ. The error is of kind BadMessage
// and means that no value is readable.
func ParseRetryAfter(values []string, date string, now time.Time) (time.Duration, error) {
	var longest time.Duration
	unreadable, readable := "", false
	for _, v := range values {
		v = strings.Trim(v, " \t")
		d, ok := parseDelay(v, date, now)
		if !ok {
			unreadable = v
			continue
		}
		readable = true
		longest = max(longest, d)
	}
	if len(values) > 0 && !readable {
		return 0, fault.Newf(fault.BadMessage, "%q is no delay", clip(unreadable))
	}
	return min(longest, maxPause), nil
}

// parseDelay reads one value. It is at most maxPause and not negative.
func parseDelay(v, date string, now time.Time) (time.Duration, bool) {
	if isDecimal(v) {
		seconds, err := strconv.ParseFloat(v, 64)
		if err != nil || seconds > maxPause.Seconds() {
			return maxPause, true // an error can only be an overflow
		}
		return time.Duration(seconds * float64(time.Second)), true
	}
	at, err := http.ParseTime(v)
	if err != nil {
		return 0, false
	}
	if sent, err := http.ParseTime(date); err == nil {
		now = sent
	}
	return min(max(at.Sub(now), 0), maxPause), true
}

// isDecimal reports whether v consists of digits with at most one point among them.
func isDecimal(v string) bool {
	digits, points := 0, 0
	for i := range len(v) {
		switch c := v[i]; {
		case c >= '0' && c <= '9':
			digits++
		case c == '.':
			points++
		default:
			return false
		}
	}
	return digits > 0 && points <= 1
}

// clip shortens a value that is quoted in an error.
func clip(v string) string { return v[:min(len(v), maxQuoted)] }
