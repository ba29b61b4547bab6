package configstore

import (
	"context"
	"slices"

	"github.com/samber/oops"

	"amaranthwheel.example/amaranthwheel/internal/store"
)

// historyPageSize is the number of records read in one call.
const historyPageSize = 16

// History returns the latest accepted changes, newest first, at most limit of
// them; limit 0 returns all that are kept. It does not retry.
func (c *Client) History(ctx context.Context, limit int) ([]Record, error) {
	if limit <= 0 || limit > HistoryLimit {
		limit = HistoryLimit
	}
	version, err := c.kv.Range(ctx, store.Range{Key: c.keys.version()})
	if err != nil {
		return nil, oops.In("configstore").Wrapf(err, "read the version")
	}
	last, err := decodeVersion(version)
	if err != nil {
		return nil, err
	}
	var out []Record
	for last > 0 && len(out) < limit {
		page, err := c.readHistoryPage(ctx, last, min(historyPageSize, limit-len(out)))
		if err != nil || len(page) == 0 {
			return out, err
		}
		out = append(out, page...)
		last = page[len(page)-1].Version - 1
	}
	return out, nil
}

// readHistoryPage reads up to size records that end at version last and returns
// them newest first.
func (c *Client) readHistoryPage(ctx context.Context, last uint64, size int) ([]Record, error) {
	first := last - min(last, uint64(size)) + 1
	result, err := c.kv.Range(ctx, c.keys.records(first, last))
	if err != nil {
		return nil, oops.In("configstore").Wrapf(err, "read the history")
	}
	records, err := decodeRecords(result)
	slices.Reverse(records)
	return records, err
}
