package ownership

// Rank returns this host's rank among the members by rendezvous hashing of subject.
// The host ranked 0 acts at once, the others in turn if it does not.
func (m *Machine) Rank(subject string) int { return m.rank(subject) }

// CheckpointRecord returns a record with the newest state that is in force.
func (m *Machine) CheckpointRecord(cause string) (Record, error) {
	c, err := m.inForce.checkpoint()
	if err != nil {
		return Record{}, err
	}
	r := Record{ID: m.recordID(), Author: m.cfg.Self.ID, Cause: cause, Kind: CheckpointRecord, Checkpoint: &c}
	return r, nil
}
