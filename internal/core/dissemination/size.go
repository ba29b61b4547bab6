package dissemination

import "amaranthwheel.example/amaranthwheel/internal/model"

// Upper bounds on the encoded size of fixed parts, in bytes.
const (
	messageOverhead = 32
	objectOverhead  = 64
	memberOverhead  = 80
	nameOverhead    = 2
)

// objectSize returns an upper estimate of the encoded size of an object in bytes.
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

// memberSize returns an upper estimate of the encoded size of a record in bytes.
func memberSize(m *model.Member) int {
	return memberOverhead + len(m.Node) + len(m.Domain) + len(m.Service) + len(m.Target)
}

// splitBySize splits items into chunks of at most limit bytes, but of at least
// one item.
func splitBySize[T any](items []T, limit int, size func(*T) int) [][]T {
	var chunks [][]T
	start, bytes := 0, 0
	for i := range items {
		itemBytes := size(&items[i])
		if i > start && bytes+itemBytes > limit {
			chunks = append(chunks, items[start:i])
			start, bytes = i, 0
		}
		bytes += itemBytes
	}
	if start < len(items) {
		chunks = append(chunks, items[start:])
	}
	return chunks
}
