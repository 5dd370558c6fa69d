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

// The paths of the interface.
const (
	pathConfiguration = "/direct/configuration"
	pathTargets       = "/direct/targets"
	pathEvacuations   = "/direct/evacuations"
)

// maximumDocument bounds a document, in bytes.
const maximumDocument = 16 << 20

// Declarations takes and returns the declared configuration; registrar.BlockingRegistrar
// implements it.
type Declarations interface {
	// Declare replaces the declared configuration.
	Declare(ctx context.Context, next *declared.Configuration) error
	// Configuration returns the newest declared configuration.
	Configuration(ctx context.Context) (*declared.Configuration, error)
	// Evacuate orders that a zone is emptied, or, with end, taken back into use.
	Evacuate(ctx context.Context, zone string, end bool) error
	// Evacuations returns the zones that are evacuated.
	Evacuations(ctx context.Context) ([]directory.Evacuation, error)
}

// Evacuation is what operators see of a zone that is emptied by order.
type Evacuation struct {
	Zone string `json:"zone"`
	// Since is the revision of the order.
	Since uint64 `json:"since"`
	// Targets is the number of ready targets in the zone, which get no new flows.
	Targets int `json:"targets"`
	// Behind is the number of balancers that follow this member and did not know of the
	// order yet when it heard of them last, a second ago at the most.
	Behind int `json:"behind"`
}

// Followers tells how far the balancers that follow a member are; feed.Publisher
// implements it.
type Followers interface {
	// Behind returns how many of them did not have a revision yet.
	Behind(revision model.Revision) int
}

// Target is what operators see of one incarnation of a target.
type Target struct {
	ID       uint64 `json:"id"`
	Token    uint32 `json:"token"`
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
}

// refusal is the body of an answer that is no success.
type refusal struct {
	Code  int    `json:"code"`
	Error string `json:"error"`
}

// Handler serves the interface of one member.
func Handler(declarations Declarations, state *directory.Directory, followers Followers, logger *zap.Logger) http.Handler {
	server := &server{declarations: declarations, directory: state, followers: followers, logger: logger}
	router := chi.NewRouter()
	router.Get(pathConfiguration, server.getConfiguration)
	router.Put(pathConfiguration, server.putConfiguration)
	router.Get(pathTargets, server.getTargets)
	router.Get(pathEvacuations, server.getEvacuations)
	router.Post(pathEvacuations+"/{zone}", server.orderZone(false))
	router.Delete(pathEvacuations+"/{zone}", server.orderZone(true))
	return router
}

type server struct {
	declarations Declarations
	directory    *directory.Directory
	followers    Followers
	logger       *zap.Logger
}

func (server *server) getConfiguration(writer http.ResponseWriter, request *http.Request) {
	held, err := server.declarations.Configuration(request.Context())
	if err != nil {
		server.refuse(writer, err)
		return
	}
	server.answer(writer, DocumentOf(held))
}

func (server *server) putConfiguration(writer http.ResponseWriter, request *http.Request) {
	done, err := process.BoundBody(writer)
	if err != nil {
		server.refuse(writer, faults.New(faults.CodeOutcomeUnknown, "%v", err))
		return
	}
	var document Document
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maximumDocument))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&document); err != nil {
		server.refuse(writer, unreadableBody(err))
		return
	}
	done()
	stated, err := document.Configuration()
	if err == nil {
		err = server.declarations.Declare(request.Context(), stated)
	}
	if err != nil {
		server.refuse(writer, err)
		return
	}
	server.answer(writer, struct{}{})
}

// unreadableBody is the error of a body that cannot be read. One that did not come in time
// says nothing about what it holds.
func unreadableBody(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return faults.New(faults.CodeOutcomeUnknown, "%v", err)
	}
	return faults.New(faults.ConfigurationInvalid, "%v", err)
}

func (server *server) getTargets(writer http.ResponseWriter, _ *http.Request) {
	targets := []Target{}
	for _, held := range server.directory.Targets() {
		targets = append(targets, Target{
			ID:       uint64(held.ID),
			Token:    uint32(held.Token),
			Service:  held.Service,
			Address:  held.Address.String(),
			Zone:     held.Zone,
			State:    held.State.String(),
			Revision: uint64(held.Revision),
		})
	}
	server.answer(writer, targets)
}

func (server *server) getEvacuations(writer http.ResponseWriter, request *http.Request) {
	held, err := server.declarations.Evacuations(request.Context())
	if err != nil {
		server.refuse(writer, err)
		return
	}
	ready := make(map[string]int)
	for _, target := range server.directory.Targets() {
		if target.State == directory.TargetReady {
			ready[target.Zone]++
		}
	}
	evacuations := []Evacuation{}
	for _, evacuation := range held {
		evacuations = append(evacuations, Evacuation{
			Zone: evacuation.Zone, Since: uint64(evacuation.Since), Targets: ready[evacuation.Zone],
			Behind: server.followers.Behind(evacuation.Since),
		})
	}
	server.answer(writer, evacuations)
}

// orderZone serves the order to empty the zone of the path, or to take it back.
func (server *server) orderZone(end bool) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		err := server.declarations.Evacuate(request.Context(), chi.URLParam(request, "zone"), end)
		if err != nil {
			server.refuse(writer, err)
			return
		}
		server.answer(writer, struct{}{})
	}
}

func (server *server) answer(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(writer).Encode(value); err != nil {
		server.logger.Warn("answer not written", zap.Error(err))
	}
}

// refuse tells the caller a failure: 400 for what is invalid, 503 for what
// another member may take.
func (server *server) refuse(writer http.ResponseWriter, err error) {
	code := faults.CodeOf(err)
	status := http.StatusServiceUnavailable
	if code == faults.ConfigurationInvalid || code == faults.ZoneOrderInvalid {
		status = http.StatusBadRequest
	}
	server.logger.Info("operator's call refused", zap.Int("code", int(code)), zap.Int("status", status), zap.Error(err))
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(refusal{Code: int(code), Error: err.Error()})
}

// Serve runs the interface on direct.admin, if the settings name it.
func Serve(lifecycle fx.Lifecycle, tasks *process.Tasks, chosen settings.Settings, calls *registrar.BlockingRegistrar, state *directory.Directory,
	publisher *feed.Publisher, logger *zap.Logger) {
	if chosen.Direct.Admin == "" {
		return
	}
	process.Serve(lifecycle, tasks, process.Endpoint{
		Name: "admin", Field: "direct.admin", Address: chosen.Direct.Admin, Handler: Handler(calls, state, publisher, logger.Named("admin")),
	})
}
