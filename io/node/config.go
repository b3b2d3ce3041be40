package node

import (
	"oriolebarrow/io/peer"
	"oriolebarrow/io/wire"
)

// sections answers another host with the sections that differ.
func (h handler) sections(get *wire.SectionsGet, reply peer.Reply) {
	replies, err := h.node.agent.SectionsReplies(get)
	if err != nil {
		h.refuse(err, reply)
		return
	}
	for i, r := range replies {
		last := i == len(replies)-1
		if reply(last, &wire.Frame{Body: &wire.Frame_SectionsReply{SectionsReply: r}}) != nil {
			return
		}
	}
}

// hosts answers another host with the part of the host list that differs.
func (h handler) hosts(get *wire.HostsGet, reply peer.Reply) {
	r, err := h.node.agent.HostsReply(get)
	if err != nil {
		h.refuse(err, reply)
		return
	}
	_ = reply(true, &wire.Frame{Body: &wire.Frame_HostsReply{HostsReply: r}})
}

func (h handler) refuse(err error, reply peer.Reply) {
	h.node.log.Warn("node: exchange refused", "err", err)
	_ = reply(true, &wire.Frame{Body: &wire.Frame_Refusal{Refusal: &wire.Refusal{Reason: "not_available"}}})
}

// states answers another host with what this one knows of all hosts.
func (h handler) states(reply peer.Reply) {
	r, err := h.node.agent.StatesReply()
	if err != nil {
		h.refuse(err, reply)
		return
	}
	_ = reply(true, &wire.Frame{Body: &wire.Frame_StatesReply{StatesReply: r}})
}
