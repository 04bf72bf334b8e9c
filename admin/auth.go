package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/gin-gonic/gin"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// Token is a bearer token and the operator who holds it.
type Token struct {
	Name  string // the author of every change made with it; empty: the request names the author
	Value string
}

// Tokens are the bearer tokens of the two roles. A write token also permits
// reading. If no token is configured, everybody may read; if no write token is
// configured, nobody may write.
type Tokens struct {
	Read  []Token
	Write []Token
}

// findToken returns the token whose value is given. It compares with every token
// in constant time.
func findToken(given string, tokens []Token) (Token, bool) {
	sum := sha256.Sum256([]byte(given))
	index := -1
	for i, t := range tokens {
		want := sha256.Sum256([]byte(t.Value))
		if subtle.ConstantTimeCompare(sum[:], want[:]) == 1 && t.Value != "" {
			index = i
		}
	}
	if index < 0 {
		return Token{}, false
	}
	return tokens[index], true
}

// authorKey is the gin context key under which requireWrite stores the token's
// name.
const authorKey = "author"

func bearer(c *gin.Context) string {
	token, ok := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return token
}

// requireRead rejects requests without a token of either role. A browser may
// send the token as the password of basic authentication, for reads only: a page
// of another site can make a browser send that, but not a bearer token.
func (t Tokens) requireRead(c *gin.Context) {
	if len(t.Read)+len(t.Write) == 0 {
		return
	}
	given := bearer(c)
	if _, password, ok := c.Request.BasicAuth(); ok {
		given = password
	}
	_, reads := findToken(given, t.Read)
	_, writes := findToken(given, t.Write)
	if reads || writes {
		return
	}
	c.Writer.Header().Add("WWW-Authenticate", `Basic realm="lacewingsaddle"`)
	c.Writer.Header().Add("WWW-Authenticate", "Bearer")
	// Browsers ask for a password only after status 401.
	abortWith(c, http.StatusUnauthorized, fault.New(fault.PermissionDenied, "reading requires a read token"))
}

// requireWrite rejects requests without a write token and requests whose content
// type is not JSON.
func (t Tokens) requireWrite(c *gin.Context) {
	token, ok := findToken(bearer(c), t.Write)
	if !ok {
		abort(c, fault.New(fault.PermissionDenied, "a change requires a write token"))
		return
	}
	c.Set(authorKey, token.Name)
	if c.ContentType() != gin.MIMEJSON {
		abort(c, fault.New(fault.BadRequest, "a change must be sent as application/json"))
	}
}
