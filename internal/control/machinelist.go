package control

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"merlinpaddle/internal/model"
)

const (
	// listInterval is the time between two requests for the platform's list.
	listInterval = 2 * time.Second
	// listTimeout limits one request.
	listTimeout = 2 * time.Second
	// listMaximumAge is how long a list is used after it was read.
	listMaximumAge = 15 * time.Second
	// maximumListBytes limits the size of the list.
	maximumListBytes = 16 << 20
	// stateLive is the platform's state of a machine that is running and not leaving.
	stateLive = "live"
)

// listedMachine has the fields that control reads of one entry of the platform's list.
type listedMachine struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

// platformList is a MachineList that requests the platform's list of machines every listInterval.
type platformList struct {
	url    string
	client *http.Client
	logger *zap.Logger

	lock   sync.Mutex
	live   map[model.NodeName]bool
	readAt time.Time
}

func newPlatformList(url string, logger *zap.Logger) *platformList {
	return &platformList{url: url, client: &http.Client{Timeout: listTimeout}, logger: logger}
}

// ListedLive implements MachineList.
func (list *platformList) ListedLive(node model.NodeName) (live, known bool) {
	list.lock.Lock()
	defer list.lock.Unlock()
	if list.live == nil || time.Since(list.readAt) > listMaximumAge {
		return false, false
	}
	return list.live[node], true
}

// run requests the list every listInterval until ctx ends. A failed request is logged, and the
// previous list stays in use until listMaximumAge.
func (list *platformList) run(ctx context.Context) error {
	defer list.client.CloseIdleConnections()
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		if err := list.read(ctx); err != nil && ctx.Err() == nil {
			list.logger.Info("platform list not read", zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// read requests the list once and stores it.
func (list *platformList) read(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, list.url, http.NoBody)
	if err != nil {
		return err
	}
	response, err := list.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	var machines []listedMachine
	if err := json.NewDecoder(io.LimitReader(response.Body, maximumListBytes)).Decode(&machines); err != nil {
		return err
	}
	list.put(machines)
	return nil
}

func (list *platformList) put(machines []listedMachine) {
	live := make(map[model.NodeName]bool, len(machines))
	for _, machine := range machines {
		live[model.NodeName(machine.Name)] = machine.State == stateLive
	}
	list.lock.Lock()
	defer list.lock.Unlock()
	list.live = live
	list.readAt = time.Now()
}
