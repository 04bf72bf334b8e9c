package assigner

// keyFlow holds the requests for a key that has a range of its own. Divided by
// flowDecayTime, counts are rates.
type keyFlow struct {
	owner   string
	offered float64 // requests, admitted or not
	rate    float64 // admitted requests per second; 0 if they are not limited
}

// serverFlow holds the outcomes of the requests to a server.
type serverFlow struct {
	answered float64
	rejected float64 // requests that the server shed or whose connection it closed
	// full is set while hosts send nothing to the server because it told them so: then
	// few rejections do not show that it has room.
	full bool
}

// overloaded reports whether the server turns requests away.
func (f *serverFlow) overloaded() bool { return f.full || f.rejected >= minRejections }

// decide sets the admitted rate from what the owner does: while it rejects requests, what
// it answers is what it can serve; while it does not, it may have room for more.
func (f *keyFlow) decide(owner *serverFlow, capacity float64) {
	offered, answered := perSecond(f.offered), perSecond(owner.answered)
	admitted := min(f.offered, f.rate*flowDecayTime.Seconds())
	switch {
	case f.rate == 0 && (!owner.overloaded() || offered < overloadRatio*capacity):
		return
	case f.rate == 0:
		f.rate = max(excessAdmitted*answered, capacity)
		owner.rejected = 0
	case owner.rejected > max(rejectedShare*admitted, 1):
		f.rate = min(f.rate, excessAdmitted*answered)
		owner.rejected = 0 // these have been answered for
	case !owner.full:
		f.rate *= admissionIncrease
	}
	f.rate = max(f.rate, minAdmitted*capacity)
	if offered <= f.rate {
		f.rate = 0
	}
}

// perSecond returns the rate of a remembered count.
func perSecond(count float64) float64 { return count / flowDecayTime.Seconds() }
