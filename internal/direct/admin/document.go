// Package admin is the HTTP interface for operators of direct services, on an address of its own.
// It serves the declared configuration, the targets and zone evacuations in the load balancer's
// own terms. Client is the client of the interface.
package admin

import (
	"fmt"
	"net/netip"
	"time"

	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/faults"
)

// Document is a declared configuration as operators write it, in YAML or JSON. Durations are
// strings such as "1.5s".
type Document struct {
	Version  uint64    `json:"version" yaml:"version"`
	Services []Service `json:"services" yaml:"services"`
	Routes   []Route   `json:"routes" yaml:"routes"`
	Limits   Limits    `json:"limits" yaml:"limits"`
}

// Service describes a group of interchangeable targets.
type Service struct {
	Name           string `json:"name" yaml:"name"`
	HealthPath     string `json:"health_path,omitempty" yaml:"health_path,omitempty"`
	MaxConnections int    `json:"max_connections,omitempty" yaml:"max_connections,omitempty"`
	Protocol       string `json:"protocol,omitempty" yaml:"protocol,omitempty"`
	TLS            bool   `json:"tls,omitempty" yaml:"tls,omitempty"`
	// Cold limits the load of targets shortly after their start; nil for no limit.
	Cold *ColdLimit `json:"cold,omitempty" yaml:"cold,omitempty"`
}

// ColdLimit limits the rate of new flows to a target while it is cold.
type ColdLimit struct {
	// Start is how long a target stays cold after its start.
	Start string `json:"start,omitempty" yaml:"start,omitempty"`
	// PerSecond is the number of new flows per second that a cold target can handle; zero for no
	// limit.
	PerSecond float64 `json:"per_second,omitempty" yaml:"per_second,omitempty"`
}

// Route sends the flows of an address to a pool of services.
type Route struct {
	Name      string `json:"name" yaml:"name"`
	Address   string `json:"address" yaml:"address"`
	Kind      string `json:"kind" yaml:"kind"`
	Timeout   string `json:"timeout" yaml:"timeout"`
	Objective string `json:"objective,omitempty" yaml:"objective,omitempty"`
	Priority  int    `json:"priority,omitempty" yaml:"priority,omitempty"`
	Attempts  int    `json:"attempts,omitempty" yaml:"attempts,omitempty"`
	Weighted  bool   `json:"weighted,omitempty" yaml:"weighted,omitempty"`
	// Regions are the regions whose targets may serve the route; empty for all.
	Regions []string `json:"regions,omitempty" yaml:"regions,omitempty"`
	Pool    []Part   `json:"pool" yaml:"pool"`
}

// Part is a service in a pool, with its share of the flows.
type Part struct {
	Service string `json:"service" yaml:"service"`
	Weight  int    `json:"weight" yaml:"weight"`
}

// Limits are limits that apply to all routes.
type Limits struct {
	MaxHeaderBytes int    `json:"max_header_bytes,omitempty" yaml:"max_header_bytes,omitempty"`
	MaxBodyBytes   int    `json:"max_body_bytes,omitempty" yaml:"max_body_bytes,omitempty"`
	HeaderTimeout  string `json:"header_timeout,omitempty" yaml:"header_timeout,omitempty"`
	IdleTimeout    string `json:"idle_timeout,omitempty" yaml:"idle_timeout,omitempty"`
}

// DocumentOf converts a configuration to a document.
func DocumentOf(configuration *declared.Configuration) Document {
	document := Document{
		Version: configuration.Version,
		Limits: Limits{
			MaxHeaderBytes: configuration.Limits.MaxHeaderBytes,
			MaxBodyBytes:   configuration.Limits.MaxBodyBytes,
			HeaderTimeout:  formatDuration(configuration.Limits.HeaderTimeout),
			IdleTimeout:    formatDuration(configuration.Limits.IdleTimeout),
		},
	}
	for _, service := range configuration.Services {
		document.Services = append(document.Services, serviceOf(service))
	}
	for index := range configuration.Routes {
		document.Routes = append(document.Routes, routeOf(&configuration.Routes[index]))
	}
	return document
}

func serviceOf(declaredService declared.Service) Service {
	service := Service{
		Name: declaredService.Name, HealthPath: declaredService.HealthPath, MaxConnections: declaredService.MaxConnections, Protocol: declaredService.Protocol, TLS: declaredService.TLS,
	}
	if declaredService.Cold.Stated {
		service.Cold = &ColdLimit{Start: formatDuration(declaredService.Cold.Start), PerSecond: declaredService.Cold.PerSecond}
	}
	return service
}

func routeOf(declaredRoute *declared.Route) Route {
	route := Route{
		Name:      declaredRoute.Name,
		Address:   declaredRoute.Address.String(),
		Kind:      string(declaredRoute.Kind),
		Timeout:   formatDuration(declaredRoute.Timeout),
		Objective: formatDuration(declaredRoute.Objective),
		Priority:  declaredRoute.Priority,
		Attempts:  declaredRoute.Attempts,
		Weighted:  declaredRoute.Weighted,
		Regions:   declaredRoute.Regions,
	}
	for _, part := range declaredRoute.Pool {
		route.Pool = append(route.Pool, Part(part))
	}
	return route
}

func formatDuration(duration time.Duration) string {
	if duration == 0 {
		return ""
	}
	return duration.String()
}

// Configuration converts the document to a configuration. It returns an error that names the
// first field that cannot be parsed; otherwise the configuration is not validated.
func (document *Document) Configuration() (*declared.Configuration, error) {
	configuration := &declared.Configuration{Version: document.Version}
	for index := range document.Services {
		service, err := document.Services[index].service(fmt.Sprintf("services[%d]", index))
		if err != nil {
			return nil, err
		}
		configuration.Services = append(configuration.Services, service)
	}
	for index := range document.Routes {
		route, err := document.Routes[index].route(fmt.Sprintf("routes[%d]", index))
		if err != nil {
			return nil, err
		}
		configuration.Routes = append(configuration.Routes, route)
	}
	header, err := parseDuration("limits.header_timeout", document.Limits.HeaderTimeout)
	if err != nil {
		return nil, err
	}
	idle, err := parseDuration("limits.idle_timeout", document.Limits.IdleTimeout)
	if err != nil {
		return nil, err
	}
	configuration.Limits = declared.Limits{
		MaxHeaderBytes: document.Limits.MaxHeaderBytes,
		MaxBodyBytes:   document.Limits.MaxBodyBytes,
		HeaderTimeout:  header,
		IdleTimeout:    idle,
	}
	return configuration, nil
}

func (service *Service) service(field string) (declared.Service, error) {
	declaredService := declared.Service{
		Name: service.Name, HealthPath: service.HealthPath, MaxConnections: service.MaxConnections,
		Protocol: service.Protocol, TLS: service.TLS,
	}
	if service.Cold == nil {
		return declaredService, nil
	}
	start, err := parseDuration(field+".cold.start", service.Cold.Start)
	if err != nil {
		return declared.Service{}, err
	}
	declaredService.Cold = declared.ColdLimit{Stated: true, Start: start, PerSecond: service.Cold.PerSecond}
	return declaredService, nil
}

func (route *Route) route(field string) (declared.Route, error) {
	address, err := netip.ParseAddrPort(route.Address)
	if err != nil {
		return declared.Route{}, fieldError(field+".address", err)
	}
	timeout, err := parseDuration(field+".timeout", route.Timeout)
	if err != nil {
		return declared.Route{}, err
	}
	objective, err := parseDuration(field+".objective", route.Objective)
	if err != nil {
		return declared.Route{}, err
	}
	declaredRoute := declared.Route{
		Name:      route.Name,
		Address:   address,
		Kind:      declared.RequestKind(route.Kind),
		Timeout:   timeout,
		Objective: objective,
		Priority:  route.Priority,
		Attempts:  route.Attempts,
		Weighted:  route.Weighted,
		Regions:   route.Regions,
	}
	for _, part := range route.Pool {
		declaredRoute.Pool = append(declaredRoute.Pool, declared.PoolPart(part))
	}
	return declaredRoute, nil
}

func parseDuration(field, text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		return 0, fieldError(field, err)
	}
	return duration, nil
}

// fieldError returns the error of a field that cannot be parsed.
func fieldError(field string, err error) error {
	return faults.New(faults.ConfigurationInvalid, "%s: %v", field, err)
}
