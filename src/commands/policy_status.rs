//! The text of `policy status`.

use orchidyoke_policy_commit::commit_point::{Member, NumberedPolicy, Point, Vote};

/// The committed and the proposed policy, and the version and vote of each forwarder: a line each.
pub fn policy_status(point: &Point, members: &[Member]) -> String {
    let describe = |policy: &NumberedPolicy| {
        format!("epoch {}, digest {}, by {}", policy.epoch, policy.digest, policy.by)
    };
    let committed = match &point.committed {
        Some((policy, _)) => describe(policy),
        None => "none".to_owned(),
    };
    let mut lines = vec![format!("committed: {committed}")];
    if let Some((proposal, ..)) = &point.proposal {
        lines.push(format!("proposed: {}", describe(proposal)));
    }
    lines.extend(members.iter().map(|member| member_line(point, member)));
    lines.join("\n") + "\n"
}

fn member_line(point: &Point, member: &Member) -> String {
    let Some(status) = &member.status else {
        return format!("{}: what it says of itself cannot be read", member.id);
    };
    let vote = match &point.proposal {
        None => String::new(),
        Some((proposal, ..)) => match status.vote.as_ref().filter(|vote| vote.proposal == proposal.id) {
            None => ", has not voted".to_owned(),
            Some(Vote { no: None, .. }) => ", votes yes".to_owned(),
            Some(Vote { no: Some(reason), .. }) => format!(", votes no: {reason}"),
        },
    };
    let unusable = match &status.refuses {
        None => String::new(),
        Some(reason) => format!(", cannot use what is committed: {reason}"),
    };
    format!("{}: epoch {}{vote}{unusable}", member.id, status.epoch)
}
