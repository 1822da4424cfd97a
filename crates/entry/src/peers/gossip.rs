//! Conversion between membership messages and link frames.

use kumquattiller_base::daemon;
use kumquattiller_membership::Member;
use kumquattiller_membership::Message;
use kumquattiller_wire::Body;
use kumquattiller_wire::link;

/// Encodes a message as a frame.
pub fn encode(message: Message) -> Body {
    let members = message.members.into_iter().map(encode_member).collect();
    Body::Gossip(link::Gossip { members, asks: message.expects_reply })
}

fn encode_member(member: Member) -> link::Member {
    link::Member {
        daemon: member.id.to_string(),
        incarnation: member.incarnation.get(),
        heartbeat: 0,
        address: member.address.to_string(),
        zone: member.zone.to_string(),
        state: member.state.to_string(),
        config_version: 0,
    }
}

/// Decodes a message, without the members that are invalid. Returns `None` if the first member,
/// the sender, is missing or invalid.
pub fn decode(gossip: link::Gossip) -> Option<Message> {
    let mut members = gossip.members.into_iter().map(decode_member);
    let mut valid = vec![members.next()??];
    valid.extend(members.flatten());
    Some(Message { members: valid, expects_reply: gossip.asks })
}

fn decode_member(member: link::Member) -> Option<Member> {
    Some(Member {
        id: member.daemon.parse().ok()?,
        incarnation: daemon::Incarnation::new(member.incarnation),
        address: member.address.parse().ok()?,
        zone: member.zone.parse().ok()?,
        state: member.state.parse().ok()?,
    })
}
