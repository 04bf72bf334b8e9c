package entry

import (
	"context"
	"net/http"

	"github.com/lacewingsaddle/lacewingsaddle/admin"
	"github.com/lacewingsaddle/lacewingsaddle/command"
	"github.com/lacewingsaddle/lacewingsaddle/query"
	"github.com/lacewingsaddle/lacewingsaddle/settings"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

// recentRequests is the number of requests whose steps a host keeps.
const recentRequests = 4096

// mountOperatorAPI mounts the operators' API and the status page.
func (h *Host) mountOperatorAPI(log tlog.Log) {
	h.measures = query.NewMeasures(h.Metrics)
	reads := query.New(h.Control, log, h.Settings.Cell, h.Steps, h.measures)
	h.HandleAdmin("/", h.operatorHandler(command.New(h.Control, reads, h.Settings.Cell), reads))
}

func (h *Host) operatorHandler(writes *command.Service, reads *query.Service) http.Handler {
	return admin.NewHandler(admin.Deps{
		Command: writes,
		Query:   reads,
		Metrics: h.Metrics,
		Tokens:  admin.Tokens{Read: adminTokens(h.Settings.Tokens.Read), Write: adminTokens(h.Settings.Tokens.Write)},
	})
}

func adminTokens(list []settings.Token) []admin.Token {
	out := make([]admin.Token, 0, len(list))
	for _, t := range list {
		out = append(out, admin.Token{Name: t.Name, Value: t.Value})
	}
	return out
}

// sampleMeasures samples the three measures of package query until ctx ends.
func (h *Host) sampleMeasures(ctx context.Context) { h.measures.Run(ctx, h.Control) }
