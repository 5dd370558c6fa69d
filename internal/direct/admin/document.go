// Package admin serves operators of direct services in the product's own terms:
// the declared configuration, the targets and the group, on an address of its
// own. Client is the other side of it.
package admin

import (
	"fmt"
	"net/netip"
	"time"

	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/faults"
)

// Document is a declared configuration as operators write it, in YAML or JSON.
// Durations are texts such as "1.5s".
type Document struct {
	Version  uint64    `json:"version" yaml:"version"`
	Services []Service `json:"services" yaml:"services"`
	Routes   []Route   `json:"routes" yaml:"routes"`
	Limits   Limits    `json:"limits" yaml:"limits"`
}

// Service is a group of targets.
type Service struct {
	Name           string `json:"name" yaml:"name"`
	HealthPath     string `json:"health_path,omitempty" yaml:"health_path,omitempty"`
	MaxConnections int    `json:"max_connections,omitempty" yaml:"max_connections,omitempty"`
	Protocol       string `json:"protocol,omitempty" yaml:"protocol,omitempty"`
	TLS            bool   `json:"tls,omitempty" yaml:"tls,omitempty"`
	// Cold is what targets bear shortly after their start; nothing for no bound.
	Cold *ColdLimit `json:"cold,omitempty" yaml:"cold,omitempty"`
}

// ColdLimit is what a target bears while it is cold.
type ColdLimit struct {
	// Start is how long a target stays cold after its start.
	Start string `json:"start,omitempty" yaml:"start,omitempty"`
	// PerSecond is the number of new flows a second that it bears meanwhile; zero for
	// no bound.
	PerSecond float64 `json:"per_second,omitempty" yaml:"per_second,omitempty"`
}

// Route gives the flows of an address to a pool of services.
type Route struct {
	Name      string `json:"name" yaml:"name"`
	Address   string `json:"address" yaml:"address"`
	Kind      string `json:"kind" yaml:"kind"`
	Timeout   string `json:"timeout" yaml:"timeout"`
	Objective string `json:"objective,omitempty" yaml:"objective,omitempty"`
	Priority  int    `json:"priority,omitempty" yaml:"priority,omitempty"`
	Attempts  int    `json:"attempts,omitempty" yaml:"attempts,omitempty"`
	Weighted  bool   `json:"weighted,omitempty" yaml:"weighted,omitempty"`
	// Regions are the regions whose targets may serve the route; none for all.
	Regions []string `json:"regions,omitempty" yaml:"regions,omitempty"`
	Pool    []Part   `json:"pool" yaml:"pool"`
}

// Part is one service's part of a pool.
type Part struct {
	Service string `json:"service" yaml:"service"`
	Weight  int    `json:"weight" yaml:"weight"`
}

// Limits are bounds of all routes.
type Limits struct {
	MaxHeaderBytes int    `json:"max_header_bytes,omitempty" yaml:"max_header_bytes,omitempty"`
	MaxBodyBytes   int    `json:"max_body_bytes,omitempty" yaml:"max_body_bytes,omitempty"`
	HeaderTimeout  string `json:"header_timeout,omitempty" yaml:"header_timeout,omitempty"`
	IdleTimeout    string `json:"idle_timeout,omitempty" yaml:"idle_timeout,omitempty"`
}

// DocumentOf returns a configuration as a document.
func DocumentOf(held *declared.Configuration) Document {
	document := Document{
		Version: held.Version,
		Limits: Limits{
			MaxHeaderBytes: held.Limits.MaxHeaderBytes,
			MaxBodyBytes:   held.Limits.MaxBodyBytes,
			HeaderTimeout:  textOf(held.Limits.HeaderTimeout),
			IdleTimeout:    textOf(held.Limits.IdleTimeout),
		},
	}
	for _, service := range held.Services {
		document.Services = append(document.Services, serviceOf(service))
	}
	for index := range held.Routes {
		document.Routes = append(document.Routes, routeOf(&held.Routes[index]))
	}
	return document
}

func serviceOf(held declared.Service) Service {
	service := Service{
		Name: held.Name, HealthPath: held.HealthPath, MaxConnections: held.MaxConnections, Protocol: held.Protocol, TLS: held.TLS,
	}
	if held.Cold.Stated {
		service.Cold = &ColdLimit{Start: textOf(held.Cold.Start), PerSecond: held.Cold.PerSecond}
	}
	return service
}

func routeOf(held *declared.Route) Route {
	route := Route{
		Name:      held.Name,
		Address:   held.Address.String(),
		Kind:      string(held.Kind),
		Timeout:   textOf(held.Timeout),
		Objective: textOf(held.Objective),
		Priority:  held.Priority,
		Attempts:  held.Attempts,
		Weighted:  held.Weighted,
		Regions:   held.Regions,
	}
	for _, part := range held.Pool {
		route.Pool = append(route.Pool, Part(part))
	}
	return route
}

func textOf(duration time.Duration) string {
	if duration == 0 {
		return ""
	}
	return duration.String()
}

// Configuration returns the document as a configuration, or an error that names
// the field that cannot be read. Whether the whole is valid, Validate tells.
func (document *Document) Configuration() (*declared.Configuration, error) {
	stated := &declared.Configuration{Version: document.Version}
	for index := range document.Services {
		service, err := document.Services[index].service(fmt.Sprintf("services[%d]", index))
		if err != nil {
			return nil, err
		}
		stated.Services = append(stated.Services, service)
	}
	for index := range document.Routes {
		route, err := document.Routes[index].route(fmt.Sprintf("routes[%d]", index))
		if err != nil {
			return nil, err
		}
		stated.Routes = append(stated.Routes, route)
	}
	header, err := durationOf("limits.header_timeout", document.Limits.HeaderTimeout)
	if err != nil {
		return nil, err
	}
	idle, err := durationOf("limits.idle_timeout", document.Limits.IdleTimeout)
	if err != nil {
		return nil, err
	}
	stated.Limits = declared.Limits{
		MaxHeaderBytes: document.Limits.MaxHeaderBytes,
		MaxBodyBytes:   document.Limits.MaxBodyBytes,
		HeaderTimeout:  header,
		IdleTimeout:    idle,
	}
	return stated, nil
}

func (service *Service) service(field string) (declared.Service, error) {
	stated := declared.Service{
		Name: service.Name, HealthPath: service.HealthPath, MaxConnections: service.MaxConnections,
		Protocol: service.Protocol, TLS: service.TLS,
	}
	if service.Cold == nil {
		return stated, nil
	}
	start, err := durationOf(field+".cold.start", service.Cold.Start)
	if err != nil {
		return declared.Service{}, err
	}
	stated.Cold = declared.ColdLimit{Stated: true, Start: start, PerSecond: service.Cold.PerSecond}
	return stated, nil
}

func (route *Route) route(field string) (declared.Route, error) {
	address, err := netip.ParseAddrPort(route.Address)
	if err != nil {
		return declared.Route{}, unreadable(field+".address", err)
	}
	timeout, err := durationOf(field+".timeout", route.Timeout)
	if err != nil {
		return declared.Route{}, err
	}
	objective, err := durationOf(field+".objective", route.Objective)
	if err != nil {
		return declared.Route{}, err
	}
	stated := declared.Route{
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
		stated.Pool = append(stated.Pool, declared.PoolPart(part))
	}
	return stated, nil
}

func durationOf(field, text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		return 0, unreadable(field, err)
	}
	return duration, nil
}

func unreadable(field string, err error) error {
	return faults.New(faults.ConfigurationInvalid, "%s: %v", field, err)
}
