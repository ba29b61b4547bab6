package dissemination

import "amaranthwheel.example/amaranthwheel/internal/model"

// Upper bounds of the encoded fixed parts, in bytes.
const (
	messageOverhead = 32
	objectOverhead  = 64
	memberOverhead  = 128
	nameOverhead    = 2
)

// objectSize estimates the encoded size of an object in bytes, from above.
func objectSize(o *model.Object) int {
	size := objectOverhead + len(o.Key.Kind) + len(o.Key.Name)
	if o.Domain != nil {
		size += len(o.Domain.Region)
	}
	if o.Service == nil {
		return size
	}
	for _, domain := range o.Service.Domains {
		size += nameOverhead + len(domain)
	}
	for _, target := range o.Service.Targets {
		size += nameOverhead + len(target)
	}
	return size
}

// memberSize estimates the encoded size of a record in bytes, from above.
func memberSize(m *model.Member) int {
	return memberOverhead + len(m.Node) + len(m.Domain) + len(m.Service) + len(m.Target)
}

// cut splits items into runs of at most limit bytes, of at least one item.
func cut[T any](items []T, limit int, size func(*T) int) [][]T {
	var runs [][]T
	start, bytes := 0, 0
	for i := range items {
		itemBytes := size(&items[i])
		if i > start && bytes+itemBytes > limit {
			runs = append(runs, items[start:i])
			start, bytes = i, 0
		}
		bytes += itemBytes
	}
	if start < len(items) {
		runs = append(runs, items[start:])
	}
	return runs
}
