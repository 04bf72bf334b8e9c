package ownership

import "time"

// Flag declares a backend server of a service lost for every assignment recorded
// at or before Upto, so that the next successor takes over there. Upto only increases.
type Flag struct {
	Service string `json:"service"`
	Server  string `json:"server"`
	Upto    Offset `json:"upto"`
}

// Suspect is a server that an observer judges lost.
type Suspect struct {
	Service string
	Server  string
	// Gone means that the server's process has ended: its host refuses
	// connections. No request sent to it earlier can still be running.
	Gone bool
}

// Hold says how long requests and grants that the sender issued before it
// acknowledged a change may still be outstanding. The change is a record or, when
// Record is 0, a flag.
type Hold struct {
	Record  Offset
	Service string
	Server  string
	Left    time.Duration
}

// Confirm asks a peer to confirm the sender's view, which renews the sender's
// lease. Like a reply it acknowledges every record up to Applied and every flag it
// carries.
type Confirm struct {
	From    MemberID
	To      MemberID
	Round   uint64
	Applied Offset // the sender's acknowledged offset
	Catalog Offset // the sender's applied offset in the profile stream
	Flags   []Flag
	// Suspects are the servers that the sender itself judges lost.
	Suspects []Suspect
	Doubts   []Suspect // servers that the sender doubts; a doubt moves no shard
	Holds    []Hold
}

// ConfirmReply answers a Confirm. It acknowledges every record up to Applied and
// every flag it carries: from then on the sender confirms no view that lacks them.
type ConfirmReply struct {
	From     MemberID
	To       MemberID
	Round    uint64
	Applied  Offset
	Catalog  Offset
	Flags    []Flag
	Suspects []Suspect
	Doubts   []Suspect // servers that the sender doubts; a doubt moves no shard
	Holds    []Hold
}
