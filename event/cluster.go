package event

import "fmt"

// RoleChanged records that this host became the assigner, or no longer is.
type RoleChanged struct {
	Assigner bool   `json:"assigner"`
	Epoch    uint64 `json:"epoch"`
	// SilenceMS is the time since this host last heard from an assigner.
	SilenceMS float64 `json:"silence_ms"`
}

// Text implements Event.
func (e RoleChanged) Text() string {
	if e.Assigner {
		return fmt.Sprintf("became the assigner of epoch %d, after %.0f ms without one", e.Epoch, e.SilenceMS)
	}
	return fmt.Sprintf("is no longer the assigner; newest known epoch %d", e.Epoch)
}

// AssignerFollowed records that this host heard from a new assigner.
type AssignerFollowed struct {
	Assigner string `json:"assigner"`
	Epoch    uint64 `json:"epoch"`
}

// Text implements Event.
func (e AssignerFollowed) Text() string {
	return fmt.Sprintf("follows %s, the assigner of epoch %d", e.Assigner, e.Epoch)
}

// AssignerSilent records the first request that the assigner did not answer after
// one that it did.
type AssignerSilent struct {
	Assigner string `json:"assigner"`
	Epoch    uint64 `json:"epoch"`
	Error    string `json:"error"`
}

// Text implements Event.
func (e AssignerSilent) Text() string {
	return fmt.Sprintf("got no response from %s, the assigner of epoch %d: %s", e.Assigner, e.Epoch, e.Error)
}

// RelayFailed records that another host could not be asked to relay a call to a
// backend server.
type RelayFailed struct {
	Through string `json:"through"`
	Address string `json:"address"` // of the backend server
	Error   string `json:"error"`
}

// Text implements Event.
func (e RelayFailed) Text() string {
	return fmt.Sprintf("could not relay a call through %s to %s: %s", e.Through, e.Address, e.Error)
}

// RelayedCallFailed records that a call which this host relayed for the assigner
// failed at the backend server.
type RelayedCallFailed struct {
	Address string `json:"address"`
	Release bool   `json:"release"`
	Result  string `json:"result"`
	Error   string `json:"error"`
}

// Text implements Event.
func (e RelayedCallFailed) Text() string {
	return fmt.Sprintf("call to %s relayed for the assigner: %s", e.Address, e.Result)
}

// RelayRejected records that this host did not make a call that another host asked it to
// relay, because it could not verify the request.
type RelayRejected struct {
	From    string `json:"from"`
	Epoch   uint64 `json:"epoch"`
	Address string `json:"address"` // of the backend server
	Error   string `json:"error"`
}

// Text implements Event.
func (e RelayRejected) Text() string {
	return fmt.Sprintf("did not relay a call of %s (epoch %d) to %s: %s", e.From, e.Epoch, e.Address, e.Error)
}

// MessageRejected records a message from another host that is invalid.
type MessageRejected struct {
	Error string `json:"error"`
}

// Text implements Event.
func (e MessageRejected) Text() string { return "rejected a message from another host: " + e.Error }

// PanicContained records a panic that was limited to the message that caused it.
type PanicContained struct {
	Message string `json:"message"` // what was handled
	Value   string `json:"value"`   // of the panic
	Stack   string `json:"stack"`
}

// Text implements Event.
func (e PanicContained) Text() string {
	return fmt.Sprintf("an internal error while handling %s: %s", e.Message, e.Value)
}

// ResignBegun records that the assigner resigns because of a planned stop.
type ResignBegun struct {
	Epoch uint64 `json:"epoch"`
}

// Text implements Event.
func (e ResignBegun) Text() string { return "planned stop: another host may become the assigner" }

// The sources.
const (
	FromEntry   LeavingSource = "entry"
	FromAnswers LeavingSource = "answers"
	FromRecord  LeavingSource = "record" // an assigner learnt it from answers earlier
)

// HostCountChanged records a new number of entry hosts that share limits and
// budgets.
type HostCountChanged struct {
	Hosts int `json:"hosts"`
}

// Text implements Event.
func (e HostCountChanged) Text() string {
	return fmt.Sprintf("%d entry hosts share limits and budgets", e.Hosts)
}
