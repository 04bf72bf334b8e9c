// Package admin is the operators' HTTP API of an entry host and its status
// page. It calls only packages command and query.
package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/lacewingsaddle/lacewingsaddle/client"
	"github.com/lacewingsaddle/lacewingsaddle/command"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
	"github.com/lacewingsaddle/lacewingsaddle/query"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

// maxBodyBytes bounds a write's body: a document of the largest size, escaped.
const maxBodyBytes = 4 << 20

// Deps is what the API calls.
type Deps struct {
	Command *command.Service
	Query   *query.Service
	Metrics metrics.Registry
	Tokens  Tokens
}

// NewHandler returns the API under /v1 and the status page at /.
func NewHandler(d Deps) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.Use(gin.CustomRecoveryWithWriter(nil, func(c *gin.Context, _ any) {
		abort(c, fault.New(fault.Internal, "the handler failed"))
	}))
	engine.NoRoute(func(c *gin.Context) { abort(c, fault.New(fault.NotFound, c.Request.URL.Path)) })
	read := engine.Group("/", d.Tokens.mayRead)
	read.GET("/", d.page)
	d.reads(read.Group("/v1"))
	d.writes(engine.Group("/v1", d.Tokens.mayWrite))
	return engine
}

func abort(c *gin.Context, err error) {
	abortWith(c, fault.AnswerOf(fault.KindOf(err)).Status, err)
}

func abortWith(c *gin.Context, status int, err error) {
	p := client.ProblemOf(err)
	p.Status = status
	body, _ := json.Marshal(p)
	c.Data(status, client.ProblemType, body)
	c.Abort()
}

// answer writes v, or err as a problem.
func answer(c *gin.Context, v any, err error) {
	if err != nil {
		abort(c, err)
		return
	}
	c.JSON(http.StatusOK, v)
}

func (d Deps) reads(g *gin.RouterGroup) {
	g.GET("/status", func(c *gin.Context) { answer(c, d.Query.Status(), nil) })
	g.GET("/hosts", func(c *gin.Context) {
		out, err := d.Query.Hosts(c.Request.Context())
		answer(c, out, err)
	})
	g.GET("/servers", func(c *gin.Context) {
		out, err := d.Query.Servers(c.Request.Context(), c.Query("service"))
		answer(c, out, err)
	})
	g.GET("/owners/:service", func(c *gin.Context) {
		out, err := d.Query.Owners(c.Param("service"), c.Query("key"))
		answer(c, out, err)
	})
	g.GET("/explain/:service", d.explain)
	g.GET("/requests/:id", func(c *gin.Context) {
		out, err := d.Query.Request(c.Param("id"))
		answer(c, out, err)
	})
	g.GET("/audit", d.audit)
	g.GET("/progress/:stream/:offset", d.progress)
	g.GET("/schema", func(c *gin.Context) {
		out, err := profile.Schema()
		answer(c, json.RawMessage(out), err)
	})
	g.GET("/metrics", func(c *gin.Context) { answer(c, d.Metrics.GetAll(), nil) })
	d.documents(g.Group("/documents"))
}

func (d Deps) explain(c *gin.Context) {
	if c.Query("key") == "" {
		abort(c, fault.New(fault.BadRequest, "the query names no key"))
		return
	}
	out, err := d.Query.Explain(c.Request.Context(), c.Param("service"), c.Query("key"))
	answer(c, out, err)
}

func (d Deps) audit(c *gin.Context) {
	var f query.AuditFilter
	if err := c.ShouldBindQuery(&f); err != nil {
		abort(c, fault.Wrap(fault.BadRequest, err, "read the filter"))
		return
	}
	out, err := d.Query.Audit(c.Request.Context(), f)
	answer(c, out, err)
}

func (d Deps) progress(c *gin.Context) {
	offset, err := offsetOf(c.Param("offset"))
	if err != nil {
		abort(c, err)
		return
	}
	out, err := d.Command.Progress(c.Request.Context(), c.Param("stream"), offset)
	answer(c, out, err)
}

func offsetOf(s string) (tlog.Offset, error) {
	if s == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0, fault.Newf(fault.BadRequest, "%q is no version or offset", s)
	}
	return tlog.Offset(n), nil
}

func (d Deps) documents(g *gin.RouterGroup) {
	g.GET("", func(c *gin.Context) { answer(c, d.Query.Documents(), nil) })
	g.GET("/:kind/:name", func(c *gin.Context) {
		version, err := offsetOf(c.Query("version"))
		if err != nil {
			abort(c, err)
			return
		}
		out, err := d.Query.Document(c.Request.Context(), kindOf(c), c.Param("name"), version)
		answer(c, out, err)
	})
	g.GET("/:kind/:name/history", func(c *gin.Context) {
		out, err := d.Query.History(c.Request.Context(), kindOf(c), c.Param("name"))
		answer(c, out, err)
	})
	g.GET("/:kind/:name/diff", d.diff)
}

func (d Deps) diff(c *gin.Context) {
	from, err := offsetOf(c.Query("from"))
	if err != nil {
		abort(c, err)
		return
	}
	to, err := offsetOf(c.Query("to"))
	if err != nil {
		abort(c, err)
		return
	}
	out, err := d.Query.Diff(c.Request.Context(), kindOf(c), c.Param("name"), from, to)
	answer(c, out, err)
}

// kindOf reads any word but profile as a service, so that an unknown kind ends
// as not found.
func kindOf(c *gin.Context) profile.DocumentKind {
	if c.Param("kind") == string(profile.ProfileDocument) {
		return profile.ProfileDocument
	}
	return profile.ServiceDocument
}

func (d Deps) writes(g *gin.RouterGroup) {
	write(g, "/publish", d.Command.Publish)
	write(g, "/rollback", d.Command.Rollback)
	write(g, "/move", d.Command.Move)
	write(g, "/pin", d.Command.Pin)
	write(g, "/unpin", d.Command.Unpin)
	write(g, "/drain", d.Command.Drain)
	write(g, "/undrain", d.Command.Undrain)
	write(g, "/forget", d.Command.Forget)
}

// change is a command that can be told its author.
type change[T any] interface {
	*T
	SetAuthor(name string)
}

// write registers a command that takes a T in the body. Its author is the
// holder of the token. Once the body is read, the command goes on when the
// caller's connection ends.
func write[T any, P change[T]](g *gin.RouterGroup, path string, run func(context.Context, T) (command.Result, error)) {
	g.POST(path, func(c *gin.Context) {
		var in T
		decoder := json.NewDecoder(http.MaxBytesReader(c.Writer, c.Request.Body, maxBodyBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&in); err != nil {
			abort(c, fault.Wrap(fault.BadRequest, err, "read the change: "+err.Error()))
			return
		}
		if name := c.GetString(authorKey); name != "" {
			P(&in).SetAuthor(name)
		}
		out, err := run(context.WithoutCancel(c.Request.Context()), in)
		answer(c, out, err)
	})
}
