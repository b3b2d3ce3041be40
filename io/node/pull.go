package node

import (
	"oriolebarrow/io/peer"
	"oriolebarrow/io/wire"
)

// sections replies to another host with the sections that differ from its digests.
func (h handler) sections(get *wire.SectionsGet, reply peer.Reply) {
	replies, err := h.node.agent.SectionsReplies(get)
	if err != nil {
		h.replyNotAvailable(err, reply)
		return
	}
	for i, r := range replies {
		last := i == len(replies)-1
		if reply(last, &wire.Frame{Body: &wire.Frame_SectionsReply{SectionsReply: r}}) != nil {
			return
		}
	}
}

// hosts replies to another host with the part of the host list that differs from its
// digests.
func (h handler) hosts(get *wire.HostsGet, reply peer.Reply) {
	r, err := h.node.agent.HostsReply(get)
	if err != nil {
		h.replyNotAvailable(err, reply)
		return
	}
	_ = reply(true, &wire.Frame{Body: &wire.Frame_HostsReply{HostsReply: r}})
}

// replyNotAvailable logs err and refuses the request of another host.
func (h handler) replyNotAvailable(err error, reply peer.Reply) {
	h.node.log.Warn("node: reply to another host could not be built", "err", err)
	_ = reply(true, &wire.Frame{Body: &wire.Frame_Refusal{Refusal: &wire.Refusal{Reason: "not_available"}}})
}

// states replies to another host with the states of all hosts that this host knows.
func (h handler) states(reply peer.Reply) {
	r, err := h.node.agent.StatesReply()
	if err != nil {
		h.replyNotAvailable(err, reply)
		return
	}
	_ = reply(true, &wire.Frame{Body: &wire.Frame_StatesReply{StatesReply: r}})
}
