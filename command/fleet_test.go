package command_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/command"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/internal/fake"
	"github.com/lacewingsaddle/lacewingsaddle/internal/fleet"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
	"github.com/lacewingsaddle/lacewingsaddle/query"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

var (
	arrieta   = []string{"bilbao", "santander", "oviedo"}
	hollister = []string{"amarillo", "dalhart", "hereford", "pampa"}
)

const (
	// worstInForce and normalInForce are the documented bounds on the time until a
	// published version is in force.
	worstInForce    = 19 * time.Second
	normalInForce   = time.Second
	retention       = time.Minute
	convergenceTime = 10 * time.Second
)

// run starts a fleet in virtual time and stops it after the test.
func run(t *testing.T, hosts int, domains []string, oneWay time.Duration, test func(t *testing.T, f *fleet.Fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet.New(hosts, domains, oneWay, retention)
		defer f.Stop()
		time.Sleep(convergenceTime)
		test(t, f)
	})
}

func documents(t *testing.T, file string) []profile.Document {
	data, err := os.ReadFile("../examples/" + file)
	require.NoError(t, err)
	docs, err := profile.Parse(data)
	require.NoError(t, err)
	return docs
}

func metadata(id string) command.Metadata {
	return command.Metadata{Author: "ana", Reason: "test " + id, ID: id}
}

// publish publishes doc from a host and waits until it is in force everywhere.
func publish(t *testing.T, h *fleet.Host, doc profile.Document, base tlog.Offset) (command.Result, time.Duration) {
	start := time.Now()
	r, err := h.Command.Publish(t.Context(), command.Publish{Metadata: metadata(""), Document: doc.Source, Base: base})
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), worstInForce)
	defer cancel()
	p, err := h.Command.Await(ctx, r, nil)
	require.NoError(t, err)
	require.True(t, p.InForce)
	return r, time.Since(start)
}

// publishAll publishes a profile and a service and waits until shards have owners.
func publishAll(t *testing.T, f *fleet.Fleet, file string) []command.Result {
	var out []command.Result
	for _, doc := range documents(t, file) {
		r, _ := publish(t, f.Hosts[0], doc, 0)
		out = append(out, r)
	}
	time.Sleep(convergenceTime)
	return out
}

func withQueue(doc profile.Document, n int) profile.Document {
	p := *doc.Profile
	p.Limits.Queue = n
	out := profile.Document{Kind: doc.Kind, Profile: &p}
	out.Source = out.Effective()
	return out
}

func TestPublishIsInForceEverywhereInTime(t *testing.T) {
	cases := []struct {
		name    string
		domains []string
		file    string
		oneWay  time.Duration
	}{
		{"arrieta", arrieta, "arrieta/profiles/inventario.yaml", 4 * time.Millisecond},
		{"hollister", hollister, "hollister/profiles/grower-portal.yaml", 5 * time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			run(t, 9, tc.domains, tc.oneWay, func(t *testing.T, f *fleet.Fleet) {
				for i, doc := range documents(t, tc.file) {
					_, took := publish(t, f.Hosts[i], doc, 0)
					t.Logf("%s in force in every failure domain after %s", doc.Name(), took)
					require.LessOrEqual(t, took, normalInForce)
				}
			})
		})
	}
}

func TestPublishOverALossyLinkIsInForceWithinTheWorstTime(t *testing.T) {
	run(t, 9, hollister, 5*time.Millisecond, func(t *testing.T, f *fleet.Fleet) {
		f.Net.SetLoss(0.3)
		f.Log.SetDelay(500 * time.Millisecond)
		for i, doc := range documents(t, "hollister/profiles/grower-portal.yaml") {
			_, took := publish(t, f.Hosts[i], doc, 0)
			t.Logf("%s in force after %s at 30 %% loss and a slow log", doc.Name(), took)
		}
	})
}

func TestTheLoserOfARaceIsToldWhoWonAndWhatDiffers(t *testing.T) {
	run(t, 3, arrieta, 4*time.Millisecond, func(t *testing.T, f *fleet.Fleet) {
		docs := documents(t, "arrieta/profiles/inventario.yaml")
		first, _ := publish(t, f.Hosts[0], docs[0], 0)
		results := make([]error, 2)
		done := make(chan int)
		for i, author := range []string{"ana", "ben"} {
			go func() {
				doc := withQueue(docs[0], 100+i)
				w := command.Publish{Document: doc.Source, Base: first.Offset}
				w.Metadata = command.Metadata{Author: author, Reason: "queue of " + author}
				_, results[i] = f.Hosts[i].Command.Publish(context.Background(), w)
				done <- i
			}()
		}
		<-done
		<-done
		require.True(t, (results[0] == nil) != (results[1] == nil), "one wins: %v, %v", results[0], results[1])
		winner, loser := 0, 1
		if results[0] != nil {
			winner, loser = 1, 0
		}
		require.Equal(t, fault.Superseded, fault.KindOf(results[loser]))
		require.ErrorContains(t, results[loser], fmt.Sprintf("by %s (%q)", []string{"ana", "ben"}[winner], "queue of "+[]string{"ana", "ben"}[winner]))
		require.ErrorContains(t, results[loser], fmt.Sprintf("+   queue: %d", 100+loser))
		require.ErrorContains(t, results[loser], fmt.Sprintf("-   queue: %d", 100+winner))
		audit, err := f.Hosts[2].Query.Audit(t.Context(), query.AuditFilter{Subject: "profile/stock"})
		require.NoError(t, err)
		last := audit.Entries[len(audit.Entries)-1]
		require.Equal(t, query.Void, last.Verdict, "both were written, and the later one is void")
	})
}

// A version reported as in force stays in force through every later failure.
func TestInForceNeverReverts(t *testing.T) {
	cases := []struct {
		name string
		fail func(t *testing.T, f *fleet.Fleet, version tlog.Offset)
	}{
		{"restart of every host, one by one", func(t *testing.T, f *fleet.Fleet, _ tlog.Offset) {
			for i := range f.Hosts {
				f.Crash(i)
				f.Start(i)
				time.Sleep(convergenceTime)
			}
		}},
		{"a rolling restart without planned stops, twice", func(t *testing.T, f *fleet.Fleet, _ tlog.Offset) {
			for i := range 2 * len(f.Hosts) {
				f.Crash(i % len(f.Hosts))
				f.Start(i % len(f.Hosts))
				time.Sleep(convergenceTime)
			}
		}},
		{"every host at once", func(t *testing.T, f *fleet.Fleet, _ tlog.Offset) {
			for i := range f.Hosts {
				f.Crash(i)
			}
			time.Sleep(convergenceTime)
			for i := range f.Hosts {
				f.Start(i)
			}
			time.Sleep(convergenceTime)
		}},
		{"a replaced host", func(t *testing.T, f *fleet.Fleet, _ tlog.Offset) {
			f.Crash(4)
			f.Start(4)
		}},
		{"a log outage", func(t *testing.T, f *fleet.Fleet, _ tlog.Offset) {
			f.Log.SetOutage(true)
			time.Sleep(2 * retention)
			f.Log.SetOutage(false)
		}},
		{"a restart in a log outage", func(t *testing.T, f *fleet.Fleet, _ tlog.Offset) {
			f.Log.SetOutage(true)
			f.Crash(2)
			f.Start(2)
			time.Sleep(convergenceTime)
		}},
		{"expired records and restarts", func(t *testing.T, f *fleet.Fleet, version tlog.Offset) {
			time.Sleep(retention)
			f.Log.Expire(tlog.ProfileStream, version+1)
			for i := range f.Hosts {
				f.Crash(i)
				f.Start(i)
				time.Sleep(convergenceTime)
			}
		}},
		{"a re-append of the old version", func(t *testing.T, f *fleet.Fleet, _ tlog.Offset) {
			f.Log.Put(tlog.ProfileStream, f.Log.Records(tlog.ProfileStream)[0].Data)
		}},
		{"a late append against the old version", func(t *testing.T, f *fleet.Fleet, _ tlog.Offset) {
			doc := withQueue(documents(t, "arrieta/profiles/inventario.yaml")[0], 1)
			data, err := profile.RecordOf(doc, "late", "ben", "written long ago", 1).Encode()
			require.NoError(t, err)
			f.Log.Put(tlog.ProfileStream, data)
		}},
		{"an invalid version written by hand", func(t *testing.T, f *fleet.Fleet, version tlog.Offset) {
			p := profile.Profile{Name: "stock"}
			data, err := profile.Record{ID: "hand", Kind: profile.ProfileDocument, Name: "stock", Base: version, Profile: &p}.Encode()
			require.NoError(t, err)
			f.Log.Put(tlog.ProfileStream, data)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			run(t, 5, arrieta, 4*time.Millisecond, func(t *testing.T, f *fleet.Fleet) {
				first := publishAll(t, f, "arrieta/profiles/inventario.yaml")
				doc := withQueue(documents(t, "arrieta/profiles/inventario.yaml")[0], 77)
				second, _ := publish(t, f.Hosts[1], doc, first[0].Offset)
				tc.fail(t, f, second.Offset)
				time.Sleep(convergenceTime)
				for i, h := range f.Hosts {
					got := h.Loop.Snapshot().Catalog.Profiles["stock"]
					require.Equal(t, second.Offset, got.Version, "host %d", i)
					require.Equal(t, 77, got.Value.Limits.Queue, "host %d", i)
				}
			})
		})
	}
}

// If the log's answer to an append is lost, the host finds the outcome in the
// stream or reports the change as in doubt with its id.
func TestLostAnswers(t *testing.T) {
	run(t, 3, arrieta, 4*time.Millisecond, func(t *testing.T, f *fleet.Fleet) {
		doc := documents(t, "arrieta/profiles/inventario.yaml")[0]
		write := command.Publish{Metadata: metadata("op-1"), Document: doc.Source}
		f.Log.FailAppends(0, fake.AnswerLost)
		r, err := f.Hosts[0].Command.Publish(t.Context(), write)
		require.NoError(t, err, "the record is read back from the stream")
		again, err := f.Hosts[1].Command.Publish(t.Context(), write)
		require.NoError(t, err, "the same id is the same change")
		require.Equal(t, r.Offset, again.Offset)

		write = command.Publish{Metadata: metadata("op-2"), Document: withQueue(doc, 5).Source, Base: r.Offset}
		f.Log.FailAppends(0, fake.AppendRefused)
		_, err = f.Hosts[0].Command.Publish(t.Context(), write)
		require.Equal(t, fault.LogUnavailable, fault.KindOf(err), "certainly not stored")

		f.Log.FailAppends(30*time.Second, slices.Repeat([]fake.AppendFault{fake.AppendedLate}, 100)...)
		_, err = f.Hosts[0].Command.Publish(t.Context(), write)
		require.Equal(t, fault.InDoubt, fault.KindOf(err))
		require.ErrorContains(t, err, "lacewingsaddle audit --id op-2")
		time.Sleep(time.Minute)
		audit, err := f.Hosts[2].Query.Audit(t.Context(), query.AuditFilter{ID: "op-2"})
		require.NoError(t, err)
		require.Greater(t, len(audit.Entries), 1, "the host appended it again")
		require.Equal(t, query.Accepted, audit.Entries[0].Verdict, "the late append took effect, and the audit trail shows it")
		for _, e := range audit.Entries[1:] {
			require.Equal(t, query.Void, e.Verdict, "the change takes effect once")
			require.Contains(t, e.Reason, "accepted before")
		}
	})
}

func TestProgressNamesTheMissingHosts(t *testing.T) {
	run(t, 5, arrieta, 4*time.Millisecond, func(t *testing.T, f *fleet.Fleet) {
		f.Crash(1)
		doc := documents(t, "arrieta/profiles/inventario.yaml")[0]
		r, err := f.Hosts[0].Command.Publish(t.Context(), command.Publish{Metadata: metadata(""), Document: doc.Source})
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		p, err := f.Hosts[0].Command.Await(ctx, r, nil)
		require.Equal(t, fault.Timeout, fault.KindOf(err))
		require.Contains(t, p.Domains, command.DomainProgress{Domain: "santander", Members: 2, Applied: 1, Missing: []string{"host-1"}})
	})
}

func TestOwnershipChanges(t *testing.T) {
	run(t, 5, arrieta, 4*time.Millisecond, func(t *testing.T, f *fleet.Fleet) {
		publishAll(t, f, "arrieta/profiles/inventario.yaml")
		h := f.Hosts[0]
		ctx := t.Context()
		const service, key = "inventario", "wheelset-7"
		before, err := h.Query.Explain(ctx, service, key)
		require.NoError(t, err)
		require.True(t, before.MayRoute, before.Why)
		to := before.Successors[0]

		dry, err := h.Command.Move(ctx, command.Move{Metadata: command.Metadata{Author: "ana", Reason: "try", DryRun: true}, Service: service, Key: key, To: to})
		require.NoError(t, err)
		require.Equal(t, command.DryRun, dry.State)
		require.Equal(t, []command.PlannedMove{{From: before.Server, To: to, Count: 1, Cause: "try"}}, dry.Effect.Moves)

		requireInForce(t, h)(h.Command.Move(ctx, command.Move{Metadata: metadata("m1"), Service: service, Key: key, To: to}))
		after, err := f.Hosts[3].Query.Explain(ctx, service, key)
		require.NoError(t, err)
		require.Equal(t, to, after.Server)
		require.Greater(t, after.Token, before.Token)
		require.Equal(t, "ana", after.ProposedBy)
		require.Equal(t, "test m1", after.Cause)
		require.Equal(t, before.Server, after.Moves[0].From)
		require.False(t, after.Since.IsZero())

		pinned := after.Successors[len(after.Successors)-1]
		requireInForce(t, h)(h.Command.Pin(ctx, command.Pin{Metadata: metadata("p1"), Service: service, Key: key, To: pinned}))
		rows, err := f.Hosts[4].Query.Owners(service, key)
		require.NoError(t, err)
		require.Equal(t, pinned, rows[0].Server)
		require.True(t, rows[0].Pinned)
		requireInForce(t, h)(h.Command.Unpin(ctx, command.Unpin{Metadata: metadata("u1"), Service: service, Key: key}))
		rows, err = f.Hosts[4].Query.Owners(service, key)
		require.NoError(t, err)
		require.Equal(t, to, rows[0].Server)
	})
}

func requireInForce(t *testing.T, h *fleet.Host) func(command.Result, error) {
	return func(r command.Result, err error) {
		t.Helper()
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), worstInForce)
		defer cancel()
		_, err = h.Command.Await(ctx, r, nil)
		require.NoError(t, err)
		time.Sleep(time.Second)
	}
}

func TestDrainMovesEverythingAndUndrainReturns(t *testing.T) {
	run(t, 3, arrieta, 4*time.Millisecond, func(t *testing.T, f *fleet.Fleet) {
		publishAll(t, f, "arrieta/profiles/inventario.yaml")
		h := f.Hosts[0]
		d := command.Drain{Metadata: metadata("d1"), Service: "inventario", Server: "inv-03"}
		dry := d
		dry.DryRun = true
		planned, err := h.Command.Drain(t.Context(), dry)
		require.NoError(t, err)
		count := 0
		for _, m := range planned.Effect.Moves {
			require.Equal(t, "inv-03", m.From)
			count += m.Count
		}
		owned := shardsOf(t, h, "inv-03")
		require.Equal(t, owned, count, "the dry run names every shard")
		requireInForce(t, h)(h.Command.Drain(t.Context(), d))
		time.Sleep(convergenceTime)
		require.Zero(t, shardsOf(t, h, "inv-03"))
		_, err = h.Command.Drain(t.Context(), command.Drain{Metadata: metadata("d2"), Service: "inventario", Server: "inv-03"})
		require.Equal(t, fault.Superseded, fault.KindOf(err))
		requireInForce(t, h)(h.Command.Undrain(t.Context(), command.Drain{Metadata: metadata("d3"), Service: "inventario", Server: "inv-03"}))
	})
}

func shardsOf(t *testing.T, h *fleet.Host, server string) int {
	list, err := h.Query.Servers(t.Context(), "inventario")
	require.NoError(t, err)
	for _, s := range list {
		if s.ID == server {
			return s.Shards
		}
	}
	return 0
}

func TestForgetRequiresStopped(t *testing.T) {
	run(t, 5, arrieta, 4*time.Millisecond, func(t *testing.T, f *fleet.Fleet) {
		h := f.Hosts[0]
		hosts, err := h.Query.Hosts(t.Context())
		require.NoError(t, err)
		lost := hosts[1].ID
		f.Crash(1)
		_, err = h.Command.Forget(t.Context(), command.Forget{Metadata: metadata("f1"), Members: []string{lost}})
		require.Equal(t, fault.BadRequest, fault.KindOf(err))
		_, err = h.Command.Forget(t.Context(), command.Forget{Metadata: metadata("f2"), Members: []string{string(h.Loop.Snapshot().View.Self)}, Stopped: true})
		require.Equal(t, fault.BadRequest, fault.KindOf(err))
		_, err = h.Command.Forget(t.Context(), command.Forget{Metadata: metadata("f3"), Members: []string{"host-1"}, Stopped: true})
		require.Equal(t, fault.NotFound, fault.KindOf(err))
		requireInForce(t, h)(h.Command.Forget(t.Context(), command.Forget{Metadata: metadata("f4"), Members: []string{lost}, Stopped: true}))
		require.NotContains(t, h.Loop.Snapshot().View.Members, ownership.MemberID(lost))
	})
}

func TestRollbackIsANewVersion(t *testing.T) {
	run(t, 3, arrieta, 4*time.Millisecond, func(t *testing.T, f *fleet.Fleet) {
		doc := documents(t, "arrieta/profiles/inventario.yaml")[0]
		first, _ := publish(t, f.Hosts[0], doc, 0)
		second, _ := publish(t, f.Hosts[0], withQueue(doc, 9), first.Offset)
		back := command.Rollback{Metadata: metadata("rb"), Kind: profile.ProfileDocument, Name: "stock", Version: first.Offset, Base: first.Offset}
		_, err := f.Hosts[1].Command.Rollback(t.Context(), back)
		require.Equal(t, fault.Superseded, fault.KindOf(err), "the base is not what is in force")
		back.Base = second.Offset
		r, err := f.Hosts[1].Command.Rollback(t.Context(), back)
		require.NoError(t, err)
		require.Greater(t, r.Offset, second.Offset)
		history, err := f.Hosts[2].Query.History(t.Context(), profile.ProfileDocument, "stock")
		require.NoError(t, err)
		require.Len(t, history, 3)
		require.Equal(t, history[0].Effective, history[2].Effective)
		require.Equal(t, doc.Source, history[2].Source)
	})
}

func TestWritesNameAuthorAndReason(t *testing.T) {
	run(t, 1, arrieta, 0, func(t *testing.T, f *fleet.Fleet) {
		c := f.Hosts[0].Command
		ctx := t.Context()
		for name, call := range map[string]func(command.Metadata) error{
			"publish":  func(b command.Metadata) error { _, err := c.Publish(ctx, command.Publish{Metadata: b}); return err },
			"rollback": func(b command.Metadata) error { _, err := c.Rollback(ctx, command.Rollback{Metadata: b}); return err },
			"move":     func(b command.Metadata) error { _, err := c.Move(ctx, command.Move{Metadata: b}); return err },
			"pin":      func(b command.Metadata) error { _, err := c.Pin(ctx, command.Pin{Metadata: b}); return err },
			"unpin":    func(b command.Metadata) error { _, err := c.Unpin(ctx, command.Unpin{Metadata: b}); return err },
			"drain":    func(b command.Metadata) error { _, err := c.Drain(ctx, command.Drain{Metadata: b}); return err },
			"undrain":  func(b command.Metadata) error { _, err := c.Undrain(ctx, command.Drain{Metadata: b}); return err },
			"forget":   func(b command.Metadata) error { _, err := c.Forget(ctx, command.Forget{Metadata: b}); return err },
		} {
			for _, b := range []command.Metadata{{}, {Author: "ana"}, {Reason: "why"}, {Author: " ", Reason: "why"}} {
				err := call(b)
				var e *fault.Error
				require.True(t, errors.As(err, &e), name)
				require.Equal(t, fault.BadRequest, e.Kind, name)
				require.Contains(t, e.Detail, "author and its reason", name)
			}
		}
	})
}
