package gateway

import (
	"strings"
	"time"

	"baobabpaddle/fleet/room"
)

// zoneLogInterval is the least time between two log lines about the room of a zone.
const zoneLogInterval = 2 * time.Second

// zoneRoom is the room of the gateways of one availability zone.
type zoneRoom struct {
	room    *room.Zone
	crowded int       // in the last log line
	logNext time.Time // when the next line may be written
}

// recordRoom records what a gateway reports about its room.
func (h *Hub) recordRoom(now time.Time, c *conn, r *room.Report) {
	if r == nil {
		return
	}
	z := h.zones[c.zone]
	if z == nil {
		z = &zoneRoom{
			room: room.NewZone(),
		}
		h.zones[c.zone] = z
	}
	z.room.Record(now, hostOf(c.name), *r)
}

// zoneView returns what a gateway is told about the room of its zone, or nil if nothing is
// known. It logs when the number of crowded gateways changes.
func (h *Hub) zoneView(now time.Time, c *conn) *room.View {
	z := h.zones[c.zone]
	if z == nil {
		return nil
	}
	v := z.room.View(now, hostOf(c.name))
	if v.Crowded != z.crowded && !now.Before(z.logNext) {
		h.log.Info("crowded gateways of a zone", "zone", c.zone, "crowded", v.Crowded, "before", z.crowded, "resting", v.Resting, "gateways", v.Gateways)
		z.crowded = v.Crowded
		z.logNext = now.Add(zoneLogInterval)
	}
	return &v
}

// hostOf returns the part of a gateway's name that stays the same when it starts again.
func hostOf(name string) string {
	host, _, _ := strings.Cut(name, "/")
	return host
}
