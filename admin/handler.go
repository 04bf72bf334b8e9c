// Package admin implements the operators' HTTP API of an entry host and its
// status page. All operations are those of packages command and query.
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

// maxBodyBytes is the maximum size of a write's body: a document of the largest
// size, escaped in JSON.
const maxBodyBytes = 4 << 20

// Deps are the dependencies of the API.
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
		abort(c, fault.New(fault.Internal, "the admin handler panicked"))
	}))
	engine.NoRoute(func(c *gin.Context) { abort(c, fault.New(fault.NotFound, c.Request.URL.Path)) })
	read := engine.Group("/", d.Tokens.requireRead)
	read.GET("/", d.page)
	d.registerReads(read.Group("/v1"))
	d.registerWrites(engine.Group("/v1", d.Tokens.requireWrite))
	return engine
}

func abort(c *gin.Context, err error) {
	abortWith(c, fault.AnswerOf(fault.KindOf(err)).Status, err)
}

func abortWith(c *gin.Context, status int, err error) {
	p := client.ProblemOf(err)
	p.Status = status
	body, _ := json.Marshal(p)
	c.Data(status, fault.ProblemType, body)
	c.Abort()
}

// respond writes v, or err as a problem document.
func respond(c *gin.Context, v any, err error) {
	if err != nil {
		abort(c, err)
		return
	}
	c.JSON(http.StatusOK, v)
}

func (d Deps) registerReads(g *gin.RouterGroup) {
	g.GET("/status", func(c *gin.Context) { respond(c, d.Query.Status(), nil) })
	g.GET("/hosts", func(c *gin.Context) {
		out, err := d.Query.Hosts(c.Request.Context())
		respond(c, out, err)
	})
	g.GET("/servers", func(c *gin.Context) {
		out, err := d.Query.Servers(c.Request.Context(), c.Query("service"))
		respond(c, out, err)
	})
	g.GET("/owners/:service", func(c *gin.Context) {
		out, err := d.Query.Owners(c.Param("service"), c.Query("key"))
		respond(c, out, err)
	})
	g.GET("/explain/:service", d.explain)
	g.GET("/requests/:id", func(c *gin.Context) {
		out, err := d.Query.Request(c.Param("id"))
		respond(c, out, err)
	})
	g.GET("/audit", d.audit)
	g.GET("/progress/:stream/:offset", d.progress)
	g.GET("/schema", func(c *gin.Context) {
		out, err := profile.Schema()
		respond(c, json.RawMessage(out), err)
	})
	g.GET("/metrics", func(c *gin.Context) { respond(c, d.Metrics.GetAll(), nil) })
	d.registerDocuments(g.Group("/documents"))
}

func (d Deps) explain(c *gin.Context) {
	if c.Query("key") == "" {
		abort(c, fault.New(fault.BadRequest, "the query parameter key is missing"))
		return
	}
	out, err := d.Query.Explain(c.Request.Context(), c.Param("service"), c.Query("key"))
	respond(c, out, err)
}

func (d Deps) audit(c *gin.Context) {
	var f query.AuditFilter
	if err := c.ShouldBindQuery(&f); err != nil {
		abort(c, fault.Wrap(fault.BadRequest, err, "parse the audit filter"))
		return
	}
	out, err := d.Query.Audit(c.Request.Context(), f)
	respond(c, out, err)
}

func (d Deps) progress(c *gin.Context) {
	offset, err := parseOffset(c.Param("offset"))
	if err != nil {
		abort(c, err)
		return
	}
	out, err := d.Command.Progress(c.Request.Context(), c.Param("stream"), offset)
	respond(c, out, err)
}

func parseOffset(s string) (tlog.Offset, error) {
	if s == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0, fault.Newf(fault.BadRequest, "%q is not a version or offset", s)
	}
	return tlog.Offset(n), nil
}

func (d Deps) registerDocuments(g *gin.RouterGroup) {
	g.GET("", func(c *gin.Context) { respond(c, d.Query.Documents(), nil) })
	g.GET("/:kind/:name", func(c *gin.Context) {
		version, err := parseOffset(c.Query("version"))
		if err != nil {
			abort(c, err)
			return
		}
		out, err := d.Query.Document(c.Request.Context(), kindOf(c), c.Param("name"), version)
		respond(c, out, err)
	})
	g.GET("/:kind/:name/history", func(c *gin.Context) {
		out, err := d.Query.History(c.Request.Context(), kindOf(c), c.Param("name"))
		respond(c, out, err)
	})
	g.GET("/:kind/:name/diff", d.diff)
}

func (d Deps) diff(c *gin.Context) {
	from, err := parseOffset(c.Query("from"))
	if err != nil {
		abort(c, err)
		return
	}
	to, err := parseOffset(c.Query("to"))
	if err != nil {
		abort(c, err)
		return
	}
	out, err := d.Query.Diff(c.Request.Context(), kindOf(c), c.Param("name"), from, to)
	respond(c, out, err)
}

// kindOf treats every kind except profile as a service, so that an unknown kind
// is answered with not found.
func kindOf(c *gin.Context) profile.DocumentKind {
	if c.Param("kind") == string(profile.ProfileDocument) {
		return profile.ProfileDocument
	}
	return profile.ServiceDocument
}

func (d Deps) registerWrites(g *gin.RouterGroup) {
	registerWrite(g, "/publish", d.Command.Publish)
	registerWrite(g, "/rollback", d.Command.Rollback)
	registerWrite(g, "/move", d.Command.Move)
	registerWrite(g, "/pin", d.Command.Pin)
	registerWrite(g, "/unpin", d.Command.Unpin)
	registerWrite(g, "/drain", d.Command.Drain)
	registerWrite(g, "/undrain", d.Command.Undrain)
	registerWrite(g, "/forget", d.Command.Forget)
}

// authorSetter is a pointer to a command whose author can be set.
type authorSetter[T any] interface {
	*T
	SetAuthor(name string)
}

// registerWrite registers a command that takes a T in the body. Its author is
// the holder of the token. Once the body is read, the command continues even if
// the caller's connection closes.
func registerWrite[T any, P authorSetter[T]](g *gin.RouterGroup, path string, run func(context.Context, T) (command.Result, error)) {
	g.POST(path, func(c *gin.Context) {
		var in T
		decoder := json.NewDecoder(http.MaxBytesReader(c.Writer, c.Request.Body, maxBodyBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&in); err != nil {
			abort(c, fault.Wrap(fault.BadRequest, err, "decode the change: "+err.Error()))
			return
		}
		if name := c.GetString(authorKey); name != "" {
			P(&in).SetAuthor(name)
		}
		out, err := run(context.WithoutCancel(c.Request.Context()), in)
		respond(c, out, err)
	})
}
