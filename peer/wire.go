package peer

import (
	"math"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/peer/peerpb"
)

func confirmToWire(m ownership.Confirm) *peerpb.Confirmation {
	return &peerpb.Confirmation{
		Version:  MessageVersion,
		From:     string(m.From),
		To:       string(m.To),
		Round:    m.Round,
		Applied:  uint64(m.Applied),
		Catalog:  uint64(m.Catalog),
		Flags:    flagsToWire(m.Flags),
		Suspects: suspectsToWire(m.Suspects),
		Doubts:   suspectsToWire(m.Doubts),
		Holds:    holdsToWire(m.Holds),
	}
}

func confirmFromWire(m *peerpb.Confirmation) ownership.Confirm {
	return ownership.Confirm{
		From:     ownership.MemberID(m.GetFrom()),
		To:       ownership.MemberID(m.GetTo()),
		Round:    m.GetRound(),
		Applied:  ownership.Offset(m.GetApplied()),
		Catalog:  ownership.Offset(m.GetCatalog()),
		Flags:    flagsFromWire(m.GetFlags()),
		Suspects: suspectsFromWire(m.GetSuspects()),
		Doubts:   suspectsFromWire(m.GetDoubts()),
		Holds:    holdsFromWire(m.GetHolds()),
	}
}

func flagsToWire(flags []ownership.Flag) []*peerpb.Flag {
	out := make([]*peerpb.Flag, 0, len(flags))
	for _, f := range flags {
		out = append(out, &peerpb.Flag{Service: f.Service, Server: f.Server, Upto: uint64(f.Upto)})
	}
	return out
}

func flagsFromWire(flags []*peerpb.Flag) []ownership.Flag {
	out := make([]ownership.Flag, 0, len(flags))
	for _, f := range flags {
		out = append(out, ownership.Flag{
			Service: f.GetService(),
			Server:  f.GetServer(),
			Upto:    ownership.Offset(f.GetUpto()),
		})
	}
	return out
}

func suspectsToWire(suspects []ownership.Suspect) []*peerpb.Suspect {
	out := make([]*peerpb.Suspect, 0, len(suspects))
	for _, s := range suspects {
		out = append(out, &peerpb.Suspect{Service: s.Service, Server: s.Server, Gone: s.Gone})
	}
	return out
}

func suspectsFromWire(suspects []*peerpb.Suspect) []ownership.Suspect {
	out := make([]ownership.Suspect, 0, len(suspects))
	for _, s := range suspects {
		out = append(out, ownership.Suspect{Service: s.GetService(), Server: s.GetServer(), Gone: s.GetGone()})
	}
	return out
}

func holdsToWire(holds []ownership.Hold) []*peerpb.Hold {
	out := make([]*peerpb.Hold, 0, len(holds))
	for _, h := range holds {
		out = append(out, &peerpb.Hold{
			Record:  uint64(h.Record),
			Service: h.Service,
			Server:  h.Server,
			LeftMs:  milliseconds(h.Left),
		})
	}
	return out
}

// milliseconds rounds up, so that a hold is never reported shorter than it is.
func milliseconds(d time.Duration) uint32 {
	ms := (max(d, 0) + time.Millisecond - 1) / time.Millisecond
	return uint32(min(ms, math.MaxUint32))
}

func holdsFromWire(holds []*peerpb.Hold) []ownership.Hold {
	out := make([]ownership.Hold, 0, len(holds))
	for _, h := range holds {
		out = append(out, ownership.Hold{
			Record:  ownership.Offset(h.GetRecord()),
			Service: h.GetService(),
			Server:  h.GetServer(),
			Left:    time.Duration(h.GetLeftMs()) * time.Millisecond,
		})
	}
	return out
}
