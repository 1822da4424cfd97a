//! Membership messages as frames of a link.

use kumquattiller_base::daemon;
use kumquattiller_membership::Member;
use kumquattiller_membership::Message;
use kumquattiller_wire::Body;
use kumquattiller_wire::link;

/// Writes a message as a frame.
pub fn write(message: Message) -> Body {
    let members = message.members.into_iter().map(write_member).collect();
    Body::Gossip(link::Gossip { members, asks: message.expects_reply })
}

fn write_member(member: Member) -> link::Member {
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

/// Reads a message; entries that are not valid are left out, as are messages without a valid
/// sender.
pub fn read(gossip: link::Gossip) -> Option<Message> {
    let mut members = gossip.members.into_iter().map(read_member);
    let mut valid = vec![members.next()??];
    valid.extend(members.flatten());
    Some(Message { members: valid, expects_reply: gossip.asks })
}

fn read_member(member: link::Member) -> Option<Member> {
    Some(Member {
        id: member.daemon.parse().ok()?,
        incarnation: daemon::Incarnation::new(member.incarnation),
        address: member.address.parse().ok()?,
        zone: member.zone.parse().ok()?,
        state: member.state.parse().ok()?,
    })
}
