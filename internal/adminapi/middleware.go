package adminapi

import (
	"context"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"merlinpaddle/internal/auth"
	"merlinpaddle/internal/faults"
)

// Headers of this API.
const (
	// HeaderNode names the member that answered.
	HeaderNode = "Merlinpaddle-Node"
	// HeaderRequestID is the ID of the request in logs and problem documents.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey identifies a change, so that a resent change is applied only once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed is "true" when the response repeats the result of an earlier request with the
	// same idempotency key.
	HeaderReplayed = "Idempotency-Replayed"
)

// maximumRequestIDBytes is the maximum length of a request ID that the caller chose. A longer one is
// replaced by a new ID.
const maximumRequestIDBytes = 64

type contextKey int

const (
	identityKey contextKey = iota
	requestIDKey
)

// assignRequestID adds the request ID to the context and the response, and names the answering member
// in the response. A request without an ID gets a new one.
func (server *api) assignRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		id := request.Header.Get(HeaderRequestID)
		if id == "" || len(id) > maximumRequestIDBytes {
			id = uuid.NewString()
		}
		writer.Header().Set(HeaderRequestID, id)
		writer.Header().Set(HeaderNode, string(server.Node))
		next.ServeHTTP(writer, request.WithContext(context.WithValue(request.Context(), requestIDKey, id)))
	})
}

func requestID(request *http.Request) string {
	id, _ := request.Context().Value(requestIDKey).(string)
	return id
}

// recoverPanic answers with CodeInternalFault when the handler of a request panicked. That code leaves
// the outcome unknown, because the change may have been committed.
func (server *api) recoverPanic(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			server.Logger.Error("request handler panicked", zap.Any("panic", cause), zap.ByteString("stack", debug.Stack()))
			server.fail(writer, request, faults.New(faults.CodeInternalFault, "the request handler panicked"))
		}()
		next.ServeHTTP(writer, request)
	})
}

// authenticate adds the identity of the bearer token to the context and applies the token's rate
// limit.
func (server *api) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		identity, err := server.findIdentity(request)
		if err != nil {
			server.fail(writer, request, err)
			return
		}
		if wait, allowed := server.limiter.allow(identity.Name, time.Now()); !allowed {
			server.fail(writer, request, rateRefusal(wait))
			return
		}
		next.ServeHTTP(writer, request.WithContext(context.WithValue(request.Context(), identityKey, identity)))
	})
}

// findIdentity returns the identity of the request's bearer token. Requests without a known token share
// one rate limit, which slows the guessing of tokens.
func (server *api) findIdentity(request *http.Request) (auth.Identity, error) {
	token, hasToken := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	if hasToken {
		if identity, known := server.Tokens.Find(token); known {
			return identity, nil
		}
	}
	if wait, allowed := server.limiter.allowUnknown(time.Now()); !allowed {
		return auth.Identity{}, rateRefusal(wait)
	}
	if !hasToken {
		return auth.Identity{}, faults.New(faults.CodeUnauthenticated, "the request has no bearer token")
	}
	return auth.Identity{}, faults.New(faults.CodeUnauthenticated, "the bearer token is unknown")
}

// rateRefusal returns the refusal of a request over its rate; wait is in seconds.
func rateRefusal(wait int) error {
	return refusal{error: faults.New(faults.CodeRateLimited, "too many requests"), retryAfter: wait}
}

// contextIdentity returns the identity that authenticate added to the request.
func contextIdentity(request *http.Request) auth.Identity {
	identity, _ := request.Context().Value(identityKey).(auth.Identity)
	return identity
}

// handler serves one path. It writes the response of a successful request and returns an error for any
// other.
type handler func(writer http.ResponseWriter, request *http.Request) error

// requireRole returns a handler that calls run when the token's role includes the needed one. It
// answers with a problem document when the role does not suffice or run returns an error.
func (server *api) requireRole(needed auth.Role, run handler) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		identity := contextIdentity(request)
		if !identity.Role.Includes(needed) {
			server.fail(writer, request, faults.New(faults.CodeForbidden, "the token's role is %q, the request needs %q", identity.Role, needed))
			return
		}
		if err := run(writer, request); err != nil {
			server.fail(writer, request, err)
		}
	}
}

// requireGlobalRole returns a handler that calls run when the token has the needed role and is not
// limited to one tenant.
func (server *api) requireGlobalRole(needed auth.Role, run handler) http.HandlerFunc {
	return server.requireRole(needed, func(writer http.ResponseWriter, request *http.Request) error {
		if identity := contextIdentity(request); identity.Tenant != "" {
			return faults.New(faults.CodeForbidden, "the token is limited to tenant %q", identity.Tenant)
		}
		return run(writer, request)
	})
}

// requireTenantRole returns a handler that calls run when the token has the needed role for the tenant
// in the path. A token of another tenant gets the same refusal whether or not the tenant exists, so
// that its holder cannot find out which tenants exist.
func (server *api) requireTenantRole(needed auth.Role, run handler) http.HandlerFunc {
	return server.requireRole(needed, func(writer http.ResponseWriter, request *http.Request) error {
		tenant := tenantOf(request)
		if !contextIdentity(request).MayUse(tenant) {
			return faults.New(faults.CodeForbidden, "the token may not use tenant %q", string(tenant))
		}
		return run(writer, request)
	})
}

// scopeOf returns the scope of the identity's idempotency keys: one for each tenant, and one for all
// tokens that are not limited to a tenant.
func scopeOf(identity auth.Identity) string {
	if identity.Tenant == "" {
		return ""
	}
	return "tenant/" + string(identity.Tenant)
}
