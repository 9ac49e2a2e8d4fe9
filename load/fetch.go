package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	maxFetchBytes = 256 << 20
	fetchTimeout  = 10 * time.Second
)

// fetchJSON decodes the JSON at http://<address><path> into target.
func fetchJSON(ctx context.Context, address, path string, target any) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return fmt.Errorf("fetch %s%s: %w", address, path, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("fetch %s%s: %w", address, path, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("fetch %s%s: status %d", address, path, response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxFetchBytes)).Decode(target); err != nil {
		return fmt.Errorf("fetch %s%s: %w", address, path, err)
	}
	return nil
}
