package admin

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/lacewingsaddle/lacewingsaddle/query"
)

// recentMoves is the number of assignment records on the status page.
const recentMoves = 12

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": func(v float64) string { return fmt.Sprintf("%.1f %%", v*100) },
	"ratio":   func(v float64) string { return fmt.Sprintf("%.2f", v) },
	"clock":   func(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05") },
	"moment":  func(t time.Time) string { return t.UTC().Format("01-02 15:04:05") },
	"brief":   func(d time.Duration) string { return d.Round(time.Millisecond).String() },
}).Parse(pageText))

// pageData is the content of the status page.
type pageData struct {
	At        time.Time
	Status    query.Status
	Hosts     []query.HostInfo
	Servers   []query.ServerInfo
	Moves     []query.RecentMove
	MovesNote string // why the moves are missing
}

func (d Deps) page(c *gin.Context) {
	data := pageData{At: time.Now(), Status: d.Query.Status()}
	ctx := c.Request.Context()
	var err error
	if data.Hosts, err = d.Query.Hosts(ctx); err != nil {
		abort(c, err)
		return
	}
	if data.Servers, err = d.Query.Servers(ctx, ""); err != nil {
		abort(c, err)
		return
	}
	if data.Moves, err = d.Query.RecentMoves(ctx, recentMoves); err != nil {
		data.MovesNote = err.Error()
	}
	var out bytes.Buffer
	if err := pageTemplate.Execute(&out, data); err != nil {
		abort(c, err)
		return
	}
	c.Header("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	c.Header("Cache-Control", "no-store")
	c.Data(http.StatusOK, "text/html; charset=utf-8", out.Bytes())
}
