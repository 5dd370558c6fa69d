package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"os"

	"github.com/go-chi/chi/v5"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/feed"
	"merlinpaddle/internal/direct/registrar"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/process"
	"merlinpaddle/internal/settings"
)

// Paths of the HTTP interface.
const (
	pathConfiguration = "/direct/configuration"
	pathTargets       = "/direct/targets"
	pathEvacuations   = "/direct/evacuations"
)

// maxDocumentBytes bounds the body of a declaration.
const maxDocumentBytes = 16 << 20

// Declarations handles operators' calls at a member. registrar.BlockingRegistrar implements it.
type Declarations interface {
	// Declare replaces the declared configuration.
	Declare(ctx context.Context, next *declared.Configuration) error
	// Configuration returns the newest declared configuration.
	Configuration(ctx context.Context) (*declared.Configuration, error)
	// Evacuate orders the evacuation of a zone, or ends it when end is set.
	Evacuate(ctx context.Context, zone string, end bool) error
	// Evacuations returns the zones under evacuation.
	Evacuations(ctx context.Context) ([]directory.Evacuation, error)
}

// Evacuation describes a zone under evacuation.
type Evacuation struct {
	Zone string `json:"zone"`
	// Since is the revision of the order.
	Since uint64 `json:"since"`
	// Targets is the number of ready targets in the zone, which get no new flows.
	Targets int `json:"targets"`
	// Behind is the number of balancers following this member that had not received the order
	// yet when they last reported, at most a second ago.
	Behind int `json:"behind"`
}

// Followers reports how up to date the balancers that follow a member are. feed.Publisher
// implements it.
type Followers interface {
	// Behind returns how many of them have not received a revision yet.
	Behind(revision model.Revision) int
}

// Target describes one incarnation of a target.
type Target struct {
	ID       uint64 `json:"id"`
	Token    uint32 `json:"token"`
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
}

// errorBody is the body of an error response.
type errorBody struct {
	Code  int    `json:"code"`
	Error string `json:"error"`
}

// Handler returns the HTTP handler of one member's interface.
func Handler(declarations Declarations, state *directory.Directory, followers Followers, logger *zap.Logger) http.Handler {
	server := &server{declarations: declarations, directory: state, followers: followers, logger: logger}
	router := chi.NewRouter()
	router.Get(pathConfiguration, server.getConfiguration)
	router.Put(pathConfiguration, server.putConfiguration)
	router.Get(pathTargets, server.getTargets)
	router.Get(pathEvacuations, server.getEvacuations)
	router.Post(pathEvacuations+"/{zone}", server.zoneOrderHandler(false))
	router.Delete(pathEvacuations+"/{zone}", server.zoneOrderHandler(true))
	return router
}

type server struct {
	declarations Declarations
	directory    *directory.Directory
	followers    Followers
	logger       *zap.Logger
}

func (server *server) getConfiguration(writer http.ResponseWriter, request *http.Request) {
	configuration, err := server.declarations.Configuration(request.Context())
	if err != nil {
		server.writeError(writer, err)
		return
	}
	server.writeJSON(writer, DocumentOf(configuration))
}

func (server *server) putConfiguration(writer http.ResponseWriter, request *http.Request) {
	bodyRead, err := process.SetBodyDeadline(writer)
	if err != nil {
		server.writeError(writer, faults.New(faults.CodeOutcomeUnknown, "%v", err))
		return
	}
	var document Document
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxDocumentBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&document); err != nil {
		server.writeError(writer, bodyError(err))
		return
	}
	bodyRead()
	configuration, err := document.Configuration()
	if err == nil {
		err = server.declarations.Declare(request.Context(), configuration)
	}
	if err != nil {
		server.writeError(writer, err)
		return
	}
	server.writeJSON(writer, struct{}{})
}

// bodyError returns the error of a body that cannot be read. A body that did not arrive in time
// may be valid, so its error is not ConfigurationInvalid.
func bodyError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return faults.New(faults.CodeOutcomeUnknown, "%v", err)
	}
	return faults.New(faults.ConfigurationInvalid, "%v", err)
}

func (server *server) getTargets(writer http.ResponseWriter, _ *http.Request) {
	targets := []Target{}
	for _, target := range server.directory.Targets() {
		targets = append(targets, Target{
			ID:       uint64(target.ID),
			Token:    uint32(target.Token),
			Service:  target.Service,
			Address:  target.Address.String(),
			Zone:     target.Zone,
			State:    target.State.String(),
			Revision: uint64(target.Revision),
		})
	}
	server.writeJSON(writer, targets)
}

func (server *server) getEvacuations(writer http.ResponseWriter, request *http.Request) {
	listed, err := server.declarations.Evacuations(request.Context())
	if err != nil {
		server.writeError(writer, err)
		return
	}
	ready := make(map[string]int)
	for _, target := range server.directory.Targets() {
		if target.State == directory.TargetReady {
			ready[target.Zone]++
		}
	}
	evacuations := []Evacuation{}
	for _, evacuation := range listed {
		evacuations = append(evacuations, Evacuation{
			Zone: evacuation.Zone, Since: uint64(evacuation.Since), Targets: ready[evacuation.Zone],
			Behind: server.followers.Behind(evacuation.Since),
		})
	}
	server.writeJSON(writer, evacuations)
}

// zoneOrderHandler returns the handler that orders the evacuation of the zone in the path, or ends
// it when end is set.
func (server *server) zoneOrderHandler(end bool) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		err := server.declarations.Evacuate(request.Context(), chi.URLParam(request, "zone"), end)
		if err != nil {
			server.writeError(writer, err)
			return
		}
		server.writeJSON(writer, struct{}{})
	}
}

func (server *server) writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(writer).Encode(value); err != nil {
		server.logger.Warn("answer not written", zap.Error(err))
	}
}

// writeError writes an error response: 400 for invalid input, and 503 for what another member may
// accept.
func (server *server) writeError(writer http.ResponseWriter, err error) {
	code := faults.CodeOf(err)
	status := http.StatusServiceUnavailable
	if code == faults.ConfigurationInvalid || code == faults.ZoneOrderInvalid {
		status = http.StatusBadRequest
	}
	server.logger.Info("operator's call refused", zap.Int("code", int(code)), zap.Int("status", status), zap.Error(err))
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(errorBody{Code: int(code), Error: err.Error()})
}

// Serve runs the HTTP interface on the address in direct.admin, if it is set.
func Serve(lifecycle fx.Lifecycle, tasks *process.Tasks, chosen settings.Settings, declarations *registrar.BlockingRegistrar, state *directory.Directory,
	publisher *feed.Publisher, logger *zap.Logger) {
	if chosen.Direct.Admin == "" {
		return
	}
	process.Serve(lifecycle, tasks, process.Endpoint{
		Name: "admin", Field: "direct.admin", Address: chosen.Direct.Admin, Handler: Handler(declarations, state, publisher, logger.Named("admin")),
	})
}
